/** Descriptors for files, as hosts reserve them. */
const FILES = 200;
/** Part of the others for callers. Upstreams, the store, other entries and probes need the rest. */
const PART = 0.75;

/** Returns how many connections of callers a process may keep open that has this many descriptors. */
export function callerConnectionLimit(maxDescriptors: number): number {
  return Math.max(1, Math.floor((maxDescriptors - FILES) * PART));
}
