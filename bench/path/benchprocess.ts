import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

/** A child process that runs a script of this folder; the script prints a JSON line when it is ready. */
export class BenchProcess<Ready> {
  private constructor(
    private readonly child: ChildProcess,
    readonly ready: Ready,
    private readonly lines: AsyncIterator<string>,
  ) {}

  static async start<Ready>(script: string, options: object): Promise<BenchProcess<Ready>> {
    const file = join(import.meta.dirname, `${script}.js`);
    const child = spawn(process.execPath, [file, JSON.stringify(options)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]();
    const first = await lines.next();
    return new BenchProcess(child, JSON.parse(String(first.value)) as Ready, lines);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Waits for the next JSON line that the script prints. */
  async nextLine<Line>(): Promise<Line> {
    const line = await this.lines.next();
    return JSON.parse(String(line.value)) as Line;
  }

  async stop(): Promise<void> {
    if (this.child.exitCode !== null) return;
    const exited = once(this.child, 'exit');
    this.child.kill('SIGTERM');
    await exited;
  }
}
