import test from 'ava';
import { runSoak } from './support/runsoak.js';

/** Bounds on the end of requests are checked by hand, on an idle machine; those on lost requests are never eased. */
const SLACK_MS = '8000';

// Guards against requests that end without a complete answer beside SIGTERM, SIGHUP and configurations that overlap.
test.serial('no request is lost around planned work, seed 120001', async (t) => {
  const { breaches, answered, faults } = await runSoak(
    ...['--seed', '120001', '--for', '20', '--slack', SLACK_MS],
  );
  t.deepEqual(breaches, [], JSON.stringify(faults));
  t.true(answered > 0);
});
