import type { Clock, Ms } from '../../base/index.js';
import { askEntries } from '../../shell/entries/index.js';
import type { Place } from './place.js';
import { progress } from './progress.js';

const POLL_MS = 100;

/** Asks the entries until a revision is in force everywhere, or the time is up. */
export async function awaitInForce(
  urls: readonly string[],
  awaited: Parameters<typeof progress>[1],
  timeoutMs: Ms,
  clock: Clock,
): Promise<readonly Place[]> {
  const untilMs = clock.nowMs() + timeoutMs;
  for (;;) {
    const places = progress(await askEntries(urls), awaited);
    const everywhere = places.every(({ inForce }) => inForce);
    if (everywhere || clock.nowMs() >= untilMs) return places;
    await new Promise<void>((resolve) => {
      clock.after(POLL_MS, resolve);
    });
  }
}
