import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'suspendholder.js');
const PROMISES = ['orders have one holder at a time', 'fencing tokens rise'];

async function brokenPromises(...args: string[]): Promise<readonly string[]> {
  const { stdout } = await promisify(execFile)(process.execPath, [SCRIPT, ...args]);
  return JSON.parse(stdout) as string[];
}

test.serial(
  'an entry whose host was suspended gives no order under a lapsed order lease',
  async (t) => {
    t.deepEqual(await brokenPromises(), []);
  },
);

test.serial(
  'the soak finds an entry whose clock does not advance during a suspension',
  async (t) => {
    const promises = await brokenPromises('steady');
    t.true(promises.some((promise) => PROMISES.includes(promise)));
  },
);
