/** Decides whether a service is served load-aware: with queues, forecasts and shared loads. */
export { isLoadAware } from './isloadaware.js';
export type { LoadAwareSetting } from './loadawaresetting.js';
