import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1000 / TICKS_PER_SECOND;
const BYTES_PER_KIB = 1024;
const USER_TICKS_FIELD = 11;

/** Resources that a process has used. */
interface Usage {
  /** Processor time, summed over all cores. */
  readonly cpuMs: number;
  readonly rssBytes: number;
}

/** Reads the resource usage of a process from /proc. */
export function processUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rssKib = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1]);
  return { cpuMs: ticks * MS_PER_TICK, rssBytes: rssKib * BYTES_PER_KIB };
}
