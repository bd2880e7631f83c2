import type { Forecast } from './forecastresult.js';
import { upstreamForecastRules } from './upstreamforecastrules.js';
import type { UpstreamLoad } from './upstreamload.js';

/**
 * Forecasts what one more request meets at an upstream. An upstream without a measured time to a first event counts as
 * immediate, so that it gets requests and is measured. The result is written to `result`, which may be `upstream`
 * itself: a choice among many upstreams then allocates nothing.
 */
export function forecast(
  upstream: UpstreamLoad,
  result: Forecast = { firstMs: 0, freePlaces: 0, nextFreeMs: 0 },
): Forecast {
  const { load, slots, pace, unloadedFirstMs, serviceMs, prefillCount } = upstream;
  const free = slots - load;
  const draft = result;
  draft.freePlaces = free < upstreamForecastRules.minFree ? 0 : free;
  draft.nextFreeMs = 0;
  if (draft.freePlaces === 0) {
    const isKnown = serviceMs < Infinity;
    const requestMs = isKnown ? serviceMs : upstreamForecastRules.unknownServiceMs;
    draft.nextFreeMs = (pace * requestMs * (1 - free)) / slots;
  }
  const firstMs = unloadedFirstMs < Infinity ? unloadedFirstMs : 0;
  draft.firstMs = pace * firstMs * (1 + prefillCount) + draft.nextFreeMs;
  return draft;
}
