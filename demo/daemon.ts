import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

const BIN = join(import.meta.dirname, '..', '..', 'bin', 'tarragonstile.js');

/** A daemon that runs as a process of its own. */
export class Daemon {
  private constructor(
    readonly child: ChildProcess,
    /** Port of its listener. */
    readonly port: number,
  ) {}

  /** Starts a daemon with these settings and waits until it listens. */
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
    const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
    return new Daemon(child, (JSON.parse(line) as { port: number }).port);
  }

  /** Stops it as planned and gives its exit code. */
  stop(): Promise<number | null> {
    return new Promise((resolve) => {
      this.child.once('exit', (code) => resolve(code));
      this.child.kill('SIGTERM');
    });
  }
}
