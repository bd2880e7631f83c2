import type { UpstreamView } from './upstreamview.js';

/** Runs tasks for one upstream one after the other, so that its state does not change under a running task. */
export function enqueue<Value>(view: UpstreamView, act: () => Promise<Value>): Promise<Value> {
  const done = view.lastTask.then(act);
  Object.assign(view, { lastTask: done.catch(() => undefined) });
  return done;
}
