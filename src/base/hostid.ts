import type { Brand } from './brand.js';

/** Identifies a host that runs one process of the system. */
export type HostId = Brand<string, 'HostId'>;
