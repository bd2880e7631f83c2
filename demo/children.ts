import type { ChildProcess } from 'node:child_process';

const running = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Child processes, which are killed by their ids when this process exits. */
export const children = {
  add(child: ChildProcess): void {
    running.add(child);
    child.once('exit', () => running.delete(child));
  },
};
