/** Blocks the event loop, as a host without a free processor does. */
export function standstill(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}
