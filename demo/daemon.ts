import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { FailureError } from '../src/base/index.js';
import { children } from './children.js';

const BIN = join(import.meta.dirname, '..', '..', 'bin', 'tarragonstile.js');

/** An entry or sidecar that runs in its own process. */
export class Daemon {
  private constructor(
    readonly child: ChildProcess,
    /** Port that it listens on. */
    readonly port: number,
  ) {}

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Starts a daemon with the given settings and waits until it listens. */
  static async start(
    command: 'entry' | 'sidecar',
    directory: string,
    name: string,
    settings: object,
  ): Promise<Daemon> {
    const file = join(directory, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    const child = spawn(process.execPath, [BIN, command, '--settings', file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    children.add(child);
    const lines = createInterface({ input: child.stdout });
    const line = await Promise.race([
      once(lines, 'line').then(([first]) => String(first)),
      once(child, 'exit').then(() => undefined),
    ]);
    if (line !== undefined) return new Daemon(child, (JSON.parse(line) as { port: number }).port);
    throw new FailureError({
      type: 'daemon-failed',
      detail: `${name} exited before it was listening.`,
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends a signal and resolves with the exit code, which is null if the signal killed the process. */
  end(signal: 'SIGTERM' | 'SIGKILL'): Promise<number | null> {
    if (this.child.exitCode !== null) return Promise.resolve(this.child.exitCode);
    return new Promise((resolve) => {
      this.child.once('exit', (code) => resolve(code));
      this.child.kill(signal);
    });
  }
}
