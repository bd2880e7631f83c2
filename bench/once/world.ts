import type { CustomerId, Incarnation, UpstreamId } from '../../src/base/index.js';
import { ModelEntry } from './modelentry.js';
import { modelLimits, ModelSidecar } from './modelsidecar.js';
import { ModelStore } from './modelstore.js';
import { Network, type Process } from './network.js';
import { RunOracle } from './runoracle.js';

const UPSTREAMS = ['u1', 'u2'] as UpstreamId[];
const OWNER = 'ministry' as CustomerId;
const INTRUDER = 'stranger' as CustomerId;

/**
 * Requests that callers send: under two keys, one of them with two different requests, and under a ticket that also
 * another request and another customer use.
 */
const REQUESTS = [
  { request: 'key-1', group: 'key-1', customer: OWNER, hash: 'a', byTicket: false },
  { request: 'key-1-other', group: 'key-1', customer: OWNER, hash: 'b', byTicket: false },
  { request: 'key-2', group: 'key-2', customer: OWNER, hash: 'a', byTicket: false },
  { request: 'ticket', group: 'ticket', customer: OWNER, hash: 'a', byTicket: true },
  { request: 'ticket-other', group: 'ticket', customer: OWNER, hash: 'b', byTicket: true },
  { request: 'ticket-stolen', group: 'ticket', customer: INTRUDER, hash: 'a', byTicket: true },
] as const;

/** One send by a caller: the request and its path. */
interface Sending {
  /** Index into `REQUESTS`. */
  readonly requestIndex: number;
  readonly entry: number;
  /** Upstream whose sidecar would issue a ticket. */
  readonly upstream: number;
  readonly isAffordable: boolean;
}

/** A small deployment whose messages, failures and clock the checker controls one step at a time. */
export class World {
  readonly trace: string[] = [];

  readonly oracle: RunOracle;

  private nowMs = 0;

  private readonly network: Network;

  private readonly store: ModelStore;

  private readonly sidecars: ModelSidecar[] = [];

  /** Sidecars that were replaced and still exist: paused ones may resume. */
  private replaced: ModelSidecar[] = [];

  private readonly entries: ModelEntry[] = [];

  private readonly service: Process = { alive: true, paused: false };

  private readonly caller: Process = { alive: true, paused: false };

  private incarnations = 0;

  private sends = 0;

  /** Until when callers may repeat each key. */
  private readonly windows = new Map<string, number>();

  private ticket: string | undefined;

  constructor(isTraced: boolean) {
    const note = isTraced ? (line: string) => this.trace.push(line) : () => {};
    this.oracle = new RunOracle(note);
    this.network = new Network(note);
    this.store = new ModelStore(this.network, () => this.nowMs);
    for (const upstream of UPSTREAMS) this.sidecars.push(this.startSidecar(upstream));
    this.entries.push(this.entry(), this.entry());
    this.note = note;
  }

  private readonly note: (line: string) => void;

  deliver(pick: number): void {
    this.network.deliver(pick);
  }

  lose(pick: number): void {
    this.network.lose(pick);
  }

  timeOut(pick: number): void {
    this.network.timeOut(pick);
  }

  deliverNamed(start: string): void {
    this.network.deliverNamed(start);
  }

  loseNamed(start: string): void {
    this.network.loseNamed(start);
  }

  /** Delivers pending messages and runs queued requests, oldest first. */
  settle(rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      this.deliver(0);
      for (const sidecar of this.sidecars) sidecar.admit(0, false);
    }
  }

  /** Sends one of the requests, for the first time or again, through one of the entries. */
  send({ requestIndex: wish, entry, upstream, isAffordable }: Sending): void {
    const through = this.entries[entry]!;
    const { request, group, customer, hash, byTicket } = REQUESTS[wish]!;
    if (through.paused) return;
    if (byTicket) this.ticket ??= this.issue(UPSTREAMS[upstream]!);
    if (byTicket ? !this.ticket : !this.mayRepeat(group)) return;
    this.sends += 1;
    this.note(`send ${this.sends} of ${request} through entry ${entry}`);
    through.take({
      id: this.sends,
      request,
      group,
      customer,
      hash,
      ticket: byTicket ? this.ticket : undefined,
      upstream: UPSTREAMS[upstream]!,
      isAffordable,
    });
  }

  /** Gives a queued request a slot, or refuses it. */
  admit(pick: number): void {
    const all = [...this.sidecars, ...this.replaced];
    all[pick % all.length]!.admit(Math.floor(pick / 8), Math.floor(pick / 64) % 4 === 0);
  }

  advanceClock(pick: number): void {
    this.nowMs += [1, 1, 300, 300, 900, 1200, 5000, 70_500][pick % 8]!;
    this.note(`now ${this.nowMs}`);
  }

  /** Kills a sidecar; a new incarnation takes its place. */
  kill(pick: number): void {
    const slot = pick % 2;
    this.note(`kill ${this.nameOf(slot)}`);
    this.sidecars[slot]!.alive = false;
    this.sidecars[slot] = this.startSidecar(UPSTREAMS[slot]!);
  }

  /** Pauses a sidecar; a new incarnation may take its place while the old one still exists. */
  pause(pick: number): void {
    const slot = pick % 2;
    this.note(`pause ${this.nameOf(slot)}`);
    this.sidecars[slot]!.paused = true;
    if (Math.floor(pick / 2) % 2 === 0) return;
    this.replaced.push(this.sidecars[slot]!);
    this.sidecars[slot] = this.startSidecar(UPSTREAMS[slot]!);
  }

  /** Resumes all paused processes. */
  resumeAll(): void {
    for (const process of [...this.sidecars, ...this.replaced, ...this.entries]) {
      process.paused = false;
    }
  }

  killEntry(pick: number): void {
    this.note(`kill entry ${pick % 2}`);
    const heard = this.entries[pick % 2]!;
    heard.alive = false;
    this.entries[pick % 2] = this.entry();
  }

  pauseEntry(pick: number): void {
    this.note(`pause entry ${pick % 2}`);
    this.entries[pick % 2]!.paused = true;
  }

  stopStore(): void {
    this.store.up = false;
    this.note('store down');
  }

  restoreStore(): void {
    this.store.up = true;
    this.note('store up');
  }

  /** Starts a planned stop of a sidecar, which then accepts no new requests. */
  leave(pick: number): void {
    const sidecar = this.sidecars[pick % 2]!;
    if (sidecar.paused || sidecar.leaving) return;
    this.note(`leave ${this.nameOf(pick % 2)}`);
    sidecar.leave();
  }

  /** Ends a planned stop, drained or at its time limit, and hands the ticket table over to the peer. */
  handOver(pick: number): void {
    const slot = pick % 2;
    const sidecar = this.sidecars[slot]!;
    const isLate = Math.floor(pick / 2) % 4 === 0;
    if (sidecar.paused || !sidecar.leaving || !(isLate || sidecar.drained())) return;
    const peer = this.sidecars[1 - slot]!;
    this.note(`hand over ${this.nameOf(slot)} to ${this.nameOf(1 - slot)}`);
    for (const table of sidecar.export()) {
      this.network.call<boolean>({
        label: `table of ${table.upstream}.${table.incarnation}`,
        from: sidecar,
        to: peer,
        serve: (reply) => {
          const isAdopted = peer.adopt(table);
          if (isAdopted && table.last) this.publishHeir(table, peer);
          reply(isAdopted);
        },
        done: () => {},
      });
    }
    this.replaced.push(sidecar);
    this.sidecars[slot] = this.startSidecar(UPSTREAMS[slot]!);
  }

  /** Kills all replaced sidecars. */
  killReplaced(): void {
    for (const sidecar of this.replaced) sidecar.alive = false;
    this.replaced = [];
  }

  private issue(upstream: UpstreamId): string | undefined {
    let issued: string | undefined;
    this.sidecarAt(upstream).issue(OWNER, (ticket) => {
      if (typeof ticket === 'string') issued = ticket;
    });
    return issued;
  }

  /** True while callers may repeat the key: for the validity period after its first send. */
  private mayRepeat(group: string): boolean {
    const untilMs = this.windows.get(group) ?? this.nowMs + modelLimits.maxValidMs;
    this.windows.set(group, untilMs);
    return this.nowMs <= untilMs;
  }

  private nameOf(slot: number): string {
    const { upstream, incarnation } = this.sidecars[slot]!;
    return `${upstream}.${incarnation}`;
  }

  private sidecarAt(upstream: UpstreamId): ModelSidecar {
    return this.sidecars[UPSTREAMS.indexOf(upstream)]!;
  }

  private startSidecar(upstream: UpstreamId): ModelSidecar {
    this.incarnations += 1;
    const incarnation = this.incarnations as Incarnation;
    this.notifyEntries(`${upstream} is at ${incarnation}`, ({ heard }) => {
      const known = heard.incarnations.get(upstream) ?? 0;
      if (incarnation > known) heard.incarnations.set(upstream, incarnation);
    });
    const { network, oracle, service } = this;
    return new ModelSidecar(upstream, incarnation, {
      network,
      oracle,
      service,
      nowMs: () => this.nowMs,
    });
  }

  private publishHeir(
    { upstream, incarnation }: { upstream: string; incarnation: number },
    peer: ModelSidecar,
  ): void {
    const heir = { upstream: peer.upstream, incarnation: peer.incarnation };
    this.notifyEntries(`${peer.upstream} holds the table of ${upstream}`, ({ heard }) => {
      heard.heirs.set(`${upstream}.${incarnation}`, heir);
    });
  }

  private notifyEntries(label: string, act: (entry: ModelEntry) => void): void {
    for (const entry of this.entries) this.network.send(label, entry, () => act(entry));
  }

  private entry(): ModelEntry {
    const { network, oracle, store, caller } = this;
    return new ModelEntry({
      network,
      oracle,
      store,
      caller,
      nowMs: () => this.nowMs,
      sidecarAt: (upstream) => this.sidecarAt(upstream),
    });
  }
}
