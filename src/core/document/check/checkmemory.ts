import type { Check } from './check.js';

/** Finds engine groups without accelerators or whose KV-cache reserve leaves no memory. */
export const checkMemory: Check = ({ groups }) =>
  groups.flatMap(({ type, kvCacheReserveBytes, memoryBytes, accelerators }, index) => {
    if (type !== 'engine') return [];
    if (accelerators === 0) {
      const detail = 'engines need at least one accelerator';
      return [{ type: 'document-invalid', pointer: `/groups/${index}/accelerators`, detail }];
    }
    if (kvCacheReserveBytes < memoryBytes) return [];
    const pointer = `/groups/${index}/kvCacheReserveBytes`;
    const detail = `leaves no memory for models: memoryBytes is ${memoryBytes}`;
    return [{ type: 'document-invalid', pointer, detail }];
  });
