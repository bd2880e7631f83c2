/** Stalls the event loop, as happens on a host without a free processor. */
export function stallEventLoop(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}
