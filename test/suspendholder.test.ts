import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'suspendholder.js');
const PROMISES = ['orders have one holder at a time', 'fencing tokens rise'];

async function broken(...args: string[]): Promise<readonly string[]> {
  const { stdout } = await promisify(execFile)(process.execPath, [SCRIPT, ...args]);
  return JSON.parse(stdout) as string[];
}

test.serial(
  'an entry whose host was suspended gives no order by a right that has lapsed',
  async (t) => {
    t.deepEqual(await broken(), []);
  },
);

test.serial('the soak finds an entry that goes by a clock that stands still', async (t) => {
  const found = await broken('steady');
  t.true(found.some((promise) => PROMISES.includes(promise)));
});
