import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { join } from 'node:path';
import { pause } from './pause.js';

/** One process of a program, from its start to its exit. */
interface ProcessRun {
  readonly child: ChildProcess;
  /** True once the soak has sent a signal that ends it; any other exit is unexpected. */
  isStopping: boolean;
  hasLogged: boolean;
}

/** What a process does at a moment, as far as it can be seen from outside. */
type Phase = 'starting' | 'running' | 'stopping' | 'down';

const RESTART_MS = 300;
const BYTES_PER_KIB = 1024;
/** Heap limit of deployed entries (deploy/system.toml), for the process and those that it starts. */
const NODE_OPTIONS = '--max-old-space-size=160';
/** Period of the quota of processor time, the same as the Linux scheduler's default. */
const QUOTA_PERIOD_MS = 100;

/** An entry process that is started, signalled and restarted, always at the same addresses. */
export class Program {
  /** Times of all starts, signals and faults that concerned it. */
  readonly disturbedAtMs: number[] = [];

  /** Those times at which it was killed, frozen or thawed. */
  readonly interruptedAtMs: number[] = [];

  /** SIGTERM and SIGHUP, each with its time. */
  readonly signals: { readonly signal: 'SIGTERM' | 'SIGHUP'; readonly atMs: number }[] = [];

  /** Exits that no signal of the soak caused. */
  readonly unexpectedExits: string[] = [];

  /** Its log lines over all runs. */
  readonly lines: string[] = [];

  startCount = 0;

  /** Greatest resident memory of a process that was recorded, in bytes. */
  peakBytes = 0;

  isFrozen = false;

  private readonly phases: { readonly phase: Phase; readonly atMs: number }[] = [];

  private run: ProcessRun | undefined;

  private isOver = false;

  constructor(
    readonly name: string,
    readonly port: number,
    private readonly command: readonly string[],
    private readonly directory: string,
    private readonly settings: object,
    /** Part of each period in which the process runs. */
    private readonly cpuShare = 1,
    /** True if the quota holds from the start of the process on, not only from its first line on. */
    private readonly isStartLimited = false,
    /** Port at which it says whether it is ready. */
    readonly readinessPort = 0,
  ) {}

  start(): void {
    const file = join(this.directory, `${this.name}.jsonc`);
    writeFileSync(file, JSON.stringify(this.settings));
    const [program = '', ...args] = this.command;
    const env = { ...process.env, NODE_OPTIONS, TARRAGONSTILE_NODE_FILE: file };
    const child = spawn(program, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    const run: ProcessRun = { child, isStopping: false, hasLogged: false };
    this.run = run;
    this.startCount += 1;
    this.recordDisturbance();
    this.recordPhase('starting');
    if (this.isStartLimited) void this.applyQuota(run);
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({ input: stream }).on('line', (line) => {
        if (!run.hasLogged && !this.isStartLimited) void this.applyQuota(run);
        run.hasLogged = true;
        this.lines.push(line);
      });
    }
    child.on('exit', (code, signal) => this.ended(run, `${code ?? signal}`));
  }

  /** Sends SIGTERM or SIGKILL; the program restarts 300 ms after the process has exited. */
  end(signal: 'SIGTERM' | 'SIGKILL'): void {
    if (!this.run || this.run.child.exitCode !== null) return;
    this.thaw();
    this.recordMemory();
    this.run.isStopping = true;
    if (signal === 'SIGTERM') this.recordSignal(signal);
    if (signal === 'SIGKILL') this.recordInterruption();
    else this.recordDisturbance();
    this.run.child.kill(signal);
  }

  /** Sends SIGHUP, on which an entry reloads its settings. */
  hangUp(): void {
    const { run } = this;
    // SIGHUP ends a process that has not installed its handler yet. One that has logged a line has.
    if (!run?.hasLogged) return;
    this.recordSignal('SIGHUP');
    run.child.kill('SIGHUP');
  }

  /** Records that the process has answered that it is ready. */
  recordReady(): void {
    if (this.phases.at(-1)?.phase === 'starting') this.recordPhase('running');
  }

  /** Returns what the process did at a moment, and for how long. */
  phaseAt(atMs: number): { readonly phase: Phase; readonly forMs: number } {
    const last = this.phases.findLast((phase) => phase.atMs <= atMs);
    return last ? { phase: last.phase, forMs: atMs - last.atMs } : { phase: 'down', forMs: 0 };
  }

  /** Sends SIGSTOP. */
  freeze(): void {
    if (this.run?.child.kill('SIGSTOP')) this.isFrozen = true;
    this.recordInterruption();
  }

  /** Sends SIGCONT to a frozen process. */
  thaw(): void {
    if (!this.isFrozen) return;
    this.isFrozen = false;
    this.run?.child.kill('SIGCONT');
    this.recordInterruption();
  }

  /** True if it was neither killed, frozen nor thawed between these times, and is not frozen now. */
  isRunning(fromMs: number, untilMs: number): boolean {
    return !this.isFrozen && !this.interruptedAtMs.some((atMs) => atMs > fromMs && atMs < untilMs);
  }

  /** True if nothing disturbed it after `fromMs`; a freeze counts until the thaw. */
  isCalmSince(fromMs: number): boolean {
    return !this.isFrozen && !this.disturbedAtMs.some((atMs) => atMs > fromMs);
  }

  async close(): Promise<void> {
    this.isOver = true;
    const { run } = this;
    if (!run || run.child.exitCode !== null || run.child.signalCode !== null) return;
    run.isStopping = true;
    this.thaw();
    run.child.kill('SIGKILL');
    await once(run.child, 'exit');
  }

  /** Id of the current process. */
  get pid(): number {
    return this.run!.child.pid!;
  }

  /** Records the greatest resident memory of the current process so far. */
  recordMemory(): void {
    try {
      const status = readFileSync(`/proc/${this.run?.child.pid}/status`, 'utf8');
      const kib = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0);
      this.peakBytes = Math.max(this.peakBytes, kib * BYTES_PER_KIB);
    } catch {
      // The process has ended; the next one is recorded.
    }
  }

  recordDisturbance(): void {
    this.disturbedAtMs.push(performance.now());
  }

  /** Stops and continues a process in each period until it exits. */
  private async applyQuota({ child }: ProcessRun): Promise<void> {
    if (this.cpuShare >= 1) return;
    while (child.exitCode === null && child.signalCode === null) {
      if (!this.isFrozen) child.kill('SIGCONT');
      await pause(this.cpuShare * QUOTA_PERIOD_MS);
      child.kill('SIGSTOP');
      await pause((1 - this.cpuShare) * QUOTA_PERIOD_MS);
    }
  }

  private recordSignal(signal: 'SIGTERM' | 'SIGHUP'): void {
    this.signals.push({ signal, atMs: performance.now() });
    if (signal === 'SIGTERM' && this.phases.at(-1)?.phase !== 'stopping') {
      this.recordPhase('stopping');
    }
  }

  private recordPhase(phase: Phase): void {
    this.phases.push({ phase, atMs: performance.now() });
  }

  private recordInterruption(): void {
    this.interruptedAtMs.push(performance.now());
    this.recordDisturbance();
  }

  private ended(run: ProcessRun, exit: string): void {
    this.recordPhase('down');
    const last = this.lines.at(-1) ?? '';
    if (!run.isStopping) this.unexpectedExits.push(`${this.name} exited: ${exit}, after ${last}`);
    if (this.isOver) return;
    setTimeout(() => {
      if (!this.isOver) this.start();
    }, RESTART_MS);
  }
}
