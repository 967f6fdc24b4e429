"""Measures the size and decoding time of a bundle by its number of customers."""

from __future__ import annotations

import hashlib
import time

from quetzaldeck.bundle import (
    Bundle,
    CustomerLimits,
    CustomerSpec,
    ModelSpec,
    UpstreamSpec,
    decode_bundle,
    encode_bundle,
)
from quetzaldeck.bundle.signing import encode_envelope, generate_key, sign_bundle
from quetzaldeck.capacity.api import Measurement, MeasurementInfo, measurements

N_MODELS = 11
N_UPSTREAMS = 780
N_ROUNDS = 3
SIZES = (100, 1_000, 3_000, 9_200)
VALID_UNTIL_MS = 4_102_444_800_000


def build_large_bundle(n_customers: int) -> Bundle:
    """:returns: a bundle with ``n_customers`` and the largest supported fleet"""
    models = tuple(ModelSpec(f"model-{i}", "2027-01") for i in range(N_MODELS))
    names = tuple(model.name for model in models)
    customers = tuple(
        CustomerSpec(
            f"customer-{i:05d}",
            (hashlib.sha256(str(i).encode()).hexdigest(),),
            models=names[i % N_MODELS :][:2],
            priority=i % 5,
            limits=CustomerLimits(requests_in_flight=50 + i % 50),
        )
        for i in range(n_customers)
    )
    upstreams = tuple(
        UpstreamSpec(
            f"engine-{i:04d}",
            f"http://10.{i // 250}.{i % 250}.7:8000",
            availability_zone=f"zone-{i % 7}",
            models=(names[i % N_MODELS],),
            kv_tokens=400_000,
        )
        for i in range(N_UPSTREAMS)
    )
    return Bundle(1, VALID_UNTIL_MS, models, customers, upstreams)


@measurements.register("bundle_bytes")
class BundleBytes(Measurement):
    """Size of the signed bundle as the configuration service stores it."""

    @property
    def info(self) -> MeasurementInfo:
        """:returns: units and sizes of the measurement"""
        return MeasurementInfo("customers", "bytes", SIZES)

    def measure(self, size: int) -> float:
        """:returns: size in bytes of a bundle with ``size`` customers"""
        private_key, _ = generate_key()
        envelope = sign_bundle(build_large_bundle(size), "key", private_key)
        return len(encode_envelope(envelope))


@measurements.register("bundle_decode")
class BundleDecode(Measurement):
    """CPU time to decode and validate a payload."""

    @property
    def info(self) -> MeasurementInfo:
        """:returns: units and sizes of the measurement"""
        return MeasurementInfo("customers", "CPU ms", SIZES)

    def measure(self, size: int) -> float:
        """:returns: shortest time of ``N_ROUNDS`` rounds"""
        payload = encode_bundle(build_large_bundle(size))
        times = []
        for _ in range(N_ROUNDS):
            started = time.process_time()
            decode_bundle(payload)
            times.append((time.process_time() - started) * 1_000)
        return min(times)


__all__ = ("BundleBytes", "BundleDecode", "build_large_bundle")
