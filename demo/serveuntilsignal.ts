import { once } from 'node:events';
import { deployments } from './deployments.js';
import { Stack } from './stack.js';

/** Runs the first deployment until SIGINT or SIGTERM, for experiments by hand. */
export async function serveUntilSignal(): Promise<void> {
  const stack = new Stack(deployments[0]);
  await stack.start();
  const { entries, store, keys, pids, upstreams, deployment } = stack;
  const { models, plainService } = deployment;
  console.log(
    JSON.stringify({ entries, store, keys, upstreams, pids, models, services: [plainService] }),
  );
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
  await stack.stop();
}
