import { modelCapacities } from '../modelcapacities.js';
import type { Check } from './check.js';
import type { Finding } from './finding.js';

/** Finds models and adapters that are too large for any upstream, even an empty one. */
export const checkPlaceable: Check = (document) => {
  const [largestBytes = 0] = modelCapacities(document);
  const type = 'document-model-unplaceable';
  const findings: Finding[] = [];
  for (const [index, { id, sizeBytes }] of document.models.entries()) {
    if (sizeBytes <= largestBytes) continue;
    const detail =
      largestBytes === 0
        ? `no upstream can hold ${id}`
        : `no upstream can hold ${id}: it needs ${sizeBytes} bytes, the largest has ${largestBytes}`;
    findings.push({ type, pointer: `/models/${index}/sizeBytes`, detail });
  }
  const sizes = new Map(document.models.map(({ id, sizeBytes }) => [id, sizeBytes]));
  for (const [index, { id, model, sizeBytes }] of document.adapters.entries()) {
    const base = sizes.get(model) ?? largestBytes;
    if (base > largestBytes || base + sizeBytes <= largestBytes) continue;
    const detail = `no upstream can hold ${id} beside ${model}: the largest has ${largestBytes} bytes`;
    findings.push({ type, pointer: `/adapters/${index}/sizeBytes`, detail });
  }
  return findings;
};
