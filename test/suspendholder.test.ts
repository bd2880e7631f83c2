import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'suspendholder.js');
const MAX_OUTPUT_BYTES = 33_554_432;
const PROMISES = ['orders have one holder at a time', 'fencing tokens rise'];

interface Outcome {
  readonly breaches: readonly { readonly promise: string; readonly detail: string }[];
  /** All orders and what the entries logged of them; present if a promise about orders was broken. */
  readonly history?: object;
}

async function suspendHolders(...args: string[]): Promise<Outcome> {
  const options = { maxBuffer: MAX_OUTPUT_BYTES };
  const { stdout } = await promisify(execFile)(process.execPath, [SCRIPT, ...args], options);
  return JSON.parse(stdout) as Outcome;
}

test.serial(
  'an entry whose host was suspended gives no order under a lapsed order lease',
  async (t) => {
    const { breaches, history } = await suspendHolders();
    if (history) t.log(JSON.stringify(history));
    t.deepEqual(breaches, []);
  },
);

test.serial(
  'the soak finds an entry whose clock does not advance during a suspension',
  async (t) => {
    const { breaches, history } = await suspendHolders('steady');
    t.true(breaches.some(({ promise }) => PROMISES.includes(promise)));
    t.truthy(history);
  },
);
