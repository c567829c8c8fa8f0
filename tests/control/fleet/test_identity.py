from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.storage import FileStorage
from jasperwalk.control.fleet.identity import founder_id, open_identity, renew_identity

SEEDS = [Endpoint(f"10.0.0.{number}", 7600) for number in (1, 2, 3)]


def create(identity):
    storage = FileStorage(identity.folder, "test", identity.replica_id, "disk")
    storage.load()
    storage.close()


def test_a_founder_has_the_id_that_all_others_give_it(tmp_path):
    identity = open_identity(tmp_path, SEEDS[1], SEEDS, founding=True)
    assert identity.replica_id == founder_id(SEEDS[1])
    assert identity.founders == {founder_id(seed): seed for seed in SEEDS}


def test_a_replica_keeps_its_id_over_restarts(tmp_path):
    first = open_identity(tmp_path, SEEDS[0], SEEDS, founding=True)
    create(first)
    again = open_identity(tmp_path, SEEDS[0], SEEDS, founding=False)
    assert again == first


def test_a_replica_with_a_lost_disk_gets_another_id(tmp_path):
    identity = open_identity(tmp_path, SEEDS[0], SEEDS, founding=False)
    assert identity.replica_id != founder_id(SEEDS[0])
    assert identity.founders == {}


def test_a_replica_that_is_no_seed_founds_nothing(tmp_path):
    identity = open_identity(tmp_path, Endpoint("10.0.0.9", 7600), SEEDS, founding=True)
    assert identity.founders == {}


def test_a_removed_replica_starts_again_in_another_folder(tmp_path):
    first = open_identity(tmp_path, SEEDS[0], SEEDS, founding=True)
    create(first)
    renewed = renew_identity(tmp_path)
    create(renewed)
    assert renewed.replica_id != first.replica_id
    assert not first.folder.exists()
    assert open_identity(tmp_path, SEEDS[0], SEEDS, founding=False) == renewed
