import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { type HostId, type Revision } from '../../src/base/index.js';
import {
  mayOrder,
  nextLeaseWrite,
  onWriteResult,
  onRecord,
  releasedLease,
  orderLeaseLimits,
  type OrderLeaseRecord,
  type OrderLeaseState,
} from '../../src/core/orderlease/index.js';

/** One order that reached an upstream. */
interface SentOrder {
  readonly host: string;
  readonly token: number;
  readonly atMs: number;
}

interface Process {
  readonly host: string;
  state: OrderLeaseState;
  suspendedUntilMs: number;
  deadUntilMs: number;
  offlineUntilMs: number;
  isWriting: boolean;
  pausedUntilMs: number;
}

type Write = NonNullable<ReturnType<typeof nextLeaseWrite>>;

const SPACING_MS = 3000;
const STEP_MS = 20;
const HOSTS = ['a', 'b', 'c'];

/** Processes that compete for the order lease, with lost and late writes, suspensions, partitions and restarts. */
export class OrderLeaseWorld {
  readonly orders: SentOrder[] = [];

  private nowMs = 0;

  private revision = 0;

  private record: { value: OrderLeaseRecord; revision: number } | undefined;

  private starts = 0;

  private readonly generator;

  private readonly processes: Process[];

  private timers: { atMs: number; act: () => void }[] = [];

  constructor(
    seed: number,
    private readonly guards: { readonly waitsForSpacing: boolean; readonly checksClock: boolean },
  ) {
    this.generator = xoroshiro128plus(seed);
    this.processes = HOSTS.map((host) => this.start(host));
  }

  run(untilMs: number): void {
    while (this.nowMs < untilMs) {
      this.nowMs += STEP_MS;
      const expired = this.timers.filter(({ atMs }) => atMs <= this.nowMs);
      this.timers = this.timers.filter(({ atMs }) => atMs > this.nowMs);
      for (const { act } of expired) act();
      for (const process of this.processes) this.step(process);
    }
  }

  private start(host: string): Process {
    this.starts += 1;
    return {
      host,
      state: {
        host: host as HostId,
        address: `${host}:1`,
        nonce: `${host}${this.starts}`,
        spacingMs: this.guards.waitsForSpacing ? SPACING_MS : 0,
        delayMs: this.random(100),
        seen: this.record && {
          value: this.record.value,
          revision: this.record.revision as Revision,
          seenAtMs: this.nowMs,
        },
        own: undefined,
        notBeforeMs: 0,
      },
      suspendedUntilMs: 0,
      deadUntilMs: 0,
      offlineUntilMs: 0,
      isWriting: false,
      pausedUntilMs: 0,
    };
  }

  private random(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }

  private later(afterMs: number, act: () => void): void {
    this.timers.push({ atMs: this.nowMs + afterMs, act });
  }

  private step(process: Process): void {
    const p = process;
    if (p.deadUntilMs > this.nowMs || p.suspendedUntilMs > this.nowMs) return;
    if (p.deadUntilMs > 0) Object.assign(p, this.start(p.host));
    this.injectFaults(p);
    if (p.deadUntilMs > this.nowMs) return;
    this.readRecord(p);
    // The decision may be old when the order is sent: the process may have been suspended in between.
    const decidedAtMs = this.nowMs;
    const isAllowed = mayOrder(p.state, decidedAtMs);
    if (this.random(400) === 0) p.suspendedUntilMs = this.nowMs + this.random(8000);
    if (isAllowed && this.random(10) === 0) {
      const token = p.state.own!.epoch;
      const send = () => this.sendOrder(p, token, isAllowed);
      if (p.suspendedUntilMs > this.nowMs) this.later(p.suspendedUntilMs - this.nowMs, send);
      else send();
    }
    this.write(p);
  }

  private sendOrder(p: Process, token: number, wasAllowed: boolean): void {
    const isAllowed = this.guards.checksClock ? mayOrder(p.state, this.nowMs) : wasAllowed;
    if (!isAllowed || p.deadUntilMs > this.nowMs) return;
    const travelMs = this.random(orderLeaseLimits.orderTimeoutMs);
    const { host } = p;
    this.later(travelMs, () => this.orders.push({ host, token, atMs: this.nowMs }));
  }

  private injectFaults(p: Process): void {
    const process = p;
    if (this.random(1500) === 0) process.deadUntilMs = this.nowMs + 200 + this.random(6000);
    if (this.random(600) === 0) process.offlineUntilMs = this.nowMs + this.random(8000);
    if (this.random(2500) !== 0 || process.offlineUntilMs > this.nowMs) return;
    const release = releasedLease(process.state, this.nowMs);
    if (!release) return;
    this.swap(release.expectedRevision, release.value);
    process.deadUntilMs = this.nowMs + 500 + this.random(3000);
  }

  private readRecord(p: Process): void {
    const process = p;
    if (!this.record || p.offlineUntilMs > this.nowMs || this.random(10) !== 0) return;
    const { value, revision } = this.record;
    process.state = onRecord(p.state, value, revision as Revision, this.nowMs);
  }

  private swap(expected: number, value: OrderLeaseRecord): number | undefined {
    if ((this.record?.revision ?? 0) !== expected) return undefined;
    this.revision += 1;
    this.record = { value, revision: this.revision };
    return this.revision;
  }

  private write(p: Process): void {
    const process = p;
    if (p.isWriting || p.pausedUntilMs > this.nowMs) return;
    const write = nextLeaseWrite(p.state, this.nowMs);
    if (!write) return;
    process.isWriting = true;
    const { nonce } = p.state;
    const isLost = p.offlineUntilMs > this.nowMs || this.random(12) === 0;
    if (isLost) {
      const isDoneLate = this.random(2) === 0;
      if (isDoneLate) {
        this.later(this.random(6000), () => this.swap(write.expectedRevision, write.value));
      }
      this.later(400, () => this.unknown(p, nonce, write));
      return;
    }
    this.later(this.random(60), () => {
      this.swap(write.expectedRevision, write.value);
      const held = this.record;
      this.later(this.random(300), () => {
        process.isWriting = p.state.nonce === nonce ? false : p.isWriting;
        if (held) this.answered(p, nonce, write, held);
      });
    });
  }

  private answered(
    p: Process,
    nonce: string,
    write: Write,
    { value, revision }: { value: OrderLeaseRecord; revision: number },
  ): void {
    const process = p;
    if (p.state.nonce !== nonce) return;
    process.state = onWriteResult(p.state, write, value, revision as Revision, this.nowMs);
  }

  /** Handles a write without an answer like the keeper: remembers how long to wait and reads the record. */
  private unknown(p: Process, nonce: string, write: Write): void {
    const process = p;
    if (p.state.nonce !== nonce) return;
    process.isWriting = false;
    process.pausedUntilMs = this.nowMs + 150;
    if (write.type === 'take') {
      const notBeforeMs = Math.max(p.state.notBeforeMs, write.ordersFromMs);
      process.state = { ...p.state, notBeforeMs };
    }
    if (p.offlineUntilMs <= this.nowMs && this.record) this.answered(p, nonce, write, this.record);
  }
}
