const MODEL_COUNT = 40;
const ADAPTER_COUNT = 100;
const GIGABYTE = 1_000_000_000;

let documentNumber = 0;

/** Returns a document with 40 models, 100 adapters and the given sidecars. Its model versions differ at each call. */
export function documentText(
  service: string,
  region: string,
  sidecarAddresses: readonly string[],
): string {
  documentNumber += 1;
  const models = Array.from({ length: MODEL_COUNT }, (_, index) => ({
    id: `${service}-model-${index}`,
    version: `v${documentNumber}`,
    sizeBytes: (index + 1) * GIGABYTE,
    defaultKind: 'draft',
  }));
  const adapters = Array.from({ length: ADAPTER_COUNT }, (_, index) => ({
    id: `${service}-adapter-${index}`,
    model: `${service}-model-${index % MODEL_COUNT}`,
    sizeBytes: GIGABYTE / 10,
  }));
  const upstreams = sidecarAddresses.map((sidecarAddress, index) => ({
    id: `${service}-${index}`,
    sidecarAddress,
  }));
  const groups = [{ name: 'engines', type: 'engine', availabilityZone: 'oviedo-a', upstreams }];
  return JSON.stringify({ schemaVersion: 1, service, region, models, adapters, groups }, null, 2);
}
