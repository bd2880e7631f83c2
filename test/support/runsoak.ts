import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';

const MAIN = join(import.meta.dirname, '..', '..', 'bench', 'soak', 'main.js');

/** What one run of the soak printed. */
interface SoakOutput {
  readonly asked: number;
  readonly answered: number;
  readonly breaches: readonly { readonly promise: string; readonly detail: string }[];
  readonly faults: unknown;
}

/** Runs the soak in a separate process, as it is run by hand, and returns its output. */
export async function runSoak(...args: string[]): Promise<SoakOutput> {
  const child = spawn(process.execPath, [MAIN, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString('utf8');
  });
  await once(child, 'close');
  return JSON.parse(text) as SoakOutput;
}
