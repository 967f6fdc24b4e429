"""Assignment of keys to groups and of voters to groups."""

from __future__ import annotations

from collections import Counter

from quetzaldeck.claims import choose_voters, group_of, hash_claim_key

N_VMS = 410
N_ZONES = 7
N_GROUPS = 64
MAX_VOTERS = 9


def make_zones(n_vms: int = N_VMS) -> dict[str, str]:
    return {f"vm-{i}": f"zone-{i % N_ZONES}" for i in range(n_vms)}


def test_choose_voters_takes_all_of_a_small_fleet() -> None:
    zones = make_zones(MAX_VOTERS)
    assert choose_voters(0, zones, MAX_VOTERS) == set(zones)


def test_choose_voters_survives_the_loss_of_any_zone() -> None:
    zones = make_zones()
    for group in range(N_GROUPS):
        voters = choose_voters(group, zones, MAX_VOTERS)
        largest = max(Counter(zones[vm] for vm in voters).values())
        assert 2 * (len(voters) - largest) > len(voters)


def test_choose_voters_moves_little_when_a_vm_goes() -> None:
    zones = make_zones()
    before = [choose_voters(group, zones, MAX_VOTERS) for group in range(N_GROUPS)]
    del zones["vm-3"]
    after = [choose_voters(group, zones, MAX_VOTERS) for group in range(N_GROUPS)]
    n_moved = sum(len(new - old) for old, new in zip(before, after, strict=True))
    assert n_moved == sum("vm-3" in voters for voters in before)


def test_group_of_spreads_keys() -> None:
    keys = [hash_claim_key("club", str(i)) for i in range(64 * N_GROUPS)]
    counts = Counter(group_of(key, N_GROUPS) for key in keys)
    assert len(counts) == N_GROUPS
    assert max(counts.values()) < 2 * 64


def test_hash_claim_key_keeps_customers_apart() -> None:
    assert hash_claim_key("ab", "c") != hash_claim_key("a", "bc")
