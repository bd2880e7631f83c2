import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

/** A bench's own process: a script of this folder that prints one JSON line when it is ready. */
export class Child<Ready> {
  private constructor(
    private readonly child: ChildProcess,
    readonly ready: Ready,
    private readonly lines: AsyncIterator<string>,
  ) {}

  static async start<Ready>(script: string, options: object): Promise<Child<Ready>> {
    const file = join(import.meta.dirname, `${script}.js`);
    const child = spawn(process.execPath, [file, JSON.stringify(options)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]();
    const first = await lines.next();
    return new Child(child, JSON.parse(String(first.value)) as Ready, lines);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** The next JSON line that it prints. */
  async next<Line>(): Promise<Line> {
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
