import type { Clock, Ms } from '../../base/index.js';
import { queryEntries } from '../../shell/entries/index.js';
import type { Place } from './place.js';
import { rolloutProgress } from './rolloutprogress.js';

const POLL_MS = 100;

/** Polls the entries until a revision is in force everywhere or the timeout passes. */
export async function awaitInForce(
  urls: readonly string[],
  awaited: Parameters<typeof rolloutProgress>[1],
  timeoutMs: Ms,
  clock: Clock,
): Promise<readonly Place[]> {
  const untilMs = clock.nowMs() + timeoutMs;
  for (;;) {
    const places = rolloutProgress(await queryEntries(urls), awaited);
    const everywhere = places.every(({ inForce }) => inForce);
    if (everywhere || clock.nowMs() >= untilMs) return places;
    await new Promise<void>((resolve) => {
      clock.after(POLL_MS, resolve);
    });
  }
}
