import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { FailureError } from '../src/base/index.js';
import { children } from './children.js';

const BIN = join(import.meta.dirname, '..', '..', 'bin', 'tarragonstile.js');

/** Runs a command of the operators' command-line interface. */
export async function runOperatorCommand(...args: readonly string[]): Promise<void> {
  const child = spawn(process.execPath, [BIN, ...args], { stdio: ['ignore', 'ignore', 'inherit'] });
  children.add(child);
  const [code] = (await once(child, 'exit')) as [number];
  if (code === 0) return;
  throw new FailureError({
    type: 'command-failed',
    detail: `${args.join(' ')} exited with ${code}`,
  });
}
