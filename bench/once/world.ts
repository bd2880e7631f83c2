import type { CustomerId, Incarnation, UpstreamId } from '../../src/base/index.js';
import { ModelEntry } from './modelentry.js';
import { LIMITS, ModelSidecar } from './modelsidecar.js';
import { ModelStore } from './modelstore.js';
import { Network, type Process } from './network.js';
import { Witness } from './witness.js';

const UPSTREAMS = ['u1', 'u2'] as UpstreamId[];
const OWNER = 'ministry' as CustomerId;
const INTRUDER = 'stranger' as CustomerId;

/** What callers try: two keys, one with two different requests, and a ticket with an intruder. */
const REQUESTS = [
  { request: 'key-1', group: 'key-1', customer: OWNER, hash: 'a', byTicket: false },
  { request: 'key-1-other', group: 'key-1', customer: OWNER, hash: 'b', byTicket: false },
  { request: 'key-2', group: 'key-2', customer: OWNER, hash: 'a', byTicket: false },
  { request: 'ticket', group: 'ticket', customer: OWNER, hash: 'a', byTicket: true },
  { request: 'ticket-other', group: 'ticket', customer: OWNER, hash: 'b', byTicket: true },
  { request: 'ticket-stolen', group: 'ticket', customer: INTRUDER, hash: 'a', byTicket: true },
] as const;

/** One send of a caller: which request, and which way it goes. */
interface Sending {
  readonly wish: number;
  readonly entry: number;
  /** Where a ticket would be asked for. */
  readonly upstream: number;
  readonly isAffordable: boolean;
}

/** A small deployment in which anything may happen at any moment. */
export class World {
  readonly trace: string[] = [];

  readonly witness: Witness;

  private nowMs = 0;

  private readonly network: Network;

  private readonly store: ModelStore;

  private readonly sidecars: ModelSidecar[] = [];

  /** Sidecars that were replaced while they were paused, and may wake. */
  private former: ModelSidecar[] = [];

  private readonly entries: ModelEntry[] = [];

  private readonly service: Process = { alive: true, paused: false };

  private readonly caller: Process = { alive: true, paused: false };

  private incarnations = 0;

  private sends = 0;

  /** Time until which callers may repeat each key. */
  private readonly windows = new Map<string, number>();

  private ticket: string | undefined;

  constructor(isTraced: boolean) {
    const note = isTraced ? (line: string) => this.trace.push(line) : () => {};
    this.witness = new Witness(note);
    this.network = new Network(note);
    this.store = new ModelStore(this.network, () => this.nowMs);
    for (const upstream of UPSTREAMS) this.sidecars.push(this.birth(upstream));
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

  giveUp(pick: number): void {
    this.network.giveUp(pick);
  }

  deliverNamed(start: string): void {
    this.network.deliverNamed(start);
  }

  loseNamed(start: string): void {
    this.network.loseNamed(start);
  }

  /** Delivers and runs all that can be, in order. */
  settle(rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      this.deliver(0);
      for (const sidecar of this.sidecars) sidecar.admit(0, false);
    }
  }

  /** A caller sends, or sends again, one of its requests through one of the entries. */
  send({ wish, entry, upstream, isAffordable }: Sending): void {
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

  /** A queued request gets its slot, or is refused. */
  admit(pick: number): void {
    const all = [...this.sidecars, ...this.former];
    all[pick % all.length]!.admit(Math.floor(pick / 8), Math.floor(pick / 64) % 4 === 0);
  }

  pass(pick: number): void {
    this.nowMs += [1, 1, 300, 300, 900, 1200, 5000, 70_500][pick % 8]!;
    this.note(`now ${this.nowMs}`);
  }

  kill(pick: number): void {
    const slot = pick % 2;
    this.note(`kill ${this.nameOf(slot)}`);
    this.sidecars[slot]!.alive = false;
    this.sidecars[slot] = this.birth(UPSTREAMS[slot]!);
  }

  /** Pauses a sidecar; another may be started in its place, unaware of it. */
  pause(pick: number): void {
    const slot = pick % 2;
    this.note(`pause ${this.nameOf(slot)}`);
    this.sidecars[slot]!.paused = true;
    if (Math.floor(pick / 2) % 2 === 0) return;
    this.former.push(this.sidecars[slot]!);
    this.sidecars[slot] = this.birth(UPSTREAMS[slot]!);
  }

  wake(): void {
    for (const process of [...this.sidecars, ...this.former, ...this.entries]) {
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

  cutStore(): void {
    this.store.up = false;
    this.note('store down');
  }

  mendStore(): void {
    this.store.up = true;
    this.note('store up');
  }

  /** A planned stop begins: nothing new is taken in. */
  leave(pick: number): void {
    const sidecar = this.sidecars[pick % 2]!;
    if (sidecar.paused || sidecar.leaving) return;
    this.note(`leave ${this.nameOf(pick % 2)}`);
    sidecar.leave();
  }

  /** A planned stop ends: what runs is over, or its time is up, and the table goes to the peer. */
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
          const isTaken = peer.adopt(table);
          if (isTaken && table.last) this.publishHeir(table, peer);
          reply(isTaken);
        },
        done: () => {},
      });
    }
    this.former.push(sidecar);
    this.sidecars[slot] = this.birth(UPSTREAMS[slot]!);
  }

  /** The process that was replaced is gone at last. */
  bury(): void {
    for (const sidecar of this.former) sidecar.alive = false;
    this.former = [];
  }

  private issue(upstream: UpstreamId): string | undefined {
    let issued: string | undefined;
    this.sidecarAt(upstream).issue(OWNER, (ticket) => {
      if (typeof ticket === 'string') issued = ticket;
    });
    return issued;
  }

  /** Callers repeat a key only for as long as they are told that they may. */
  private mayRepeat(group: string): boolean {
    const untilMs = this.windows.get(group) ?? this.nowMs + LIMITS.maxValidMs;
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

  private birth(upstream: UpstreamId): ModelSidecar {
    this.incarnations += 1;
    const incarnation = this.incarnations as Incarnation;
    this.tellEntries(`${upstream} is at ${incarnation}`, ({ heard }) => {
      const known = heard.incarnations.get(upstream) ?? 0;
      if (incarnation > known) heard.incarnations.set(upstream, incarnation);
    });
    const { network, witness, service } = this;
    return new ModelSidecar(upstream, incarnation, {
      network,
      witness,
      service,
      nowMs: () => this.nowMs,
    });
  }

  private publishHeir(
    { upstream, incarnation }: { upstream: string; incarnation: number },
    peer: ModelSidecar,
  ): void {
    const heir = { upstream: peer.upstream, incarnation: peer.incarnation };
    this.tellEntries(`${peer.upstream} holds the table of ${upstream}`, ({ heard }) => {
      heard.heirs.set(`${upstream}.${incarnation}`, heir);
    });
  }

  private tellEntries(label: string, act: (entry: ModelEntry) => void): void {
    for (const entry of this.entries) this.network.tell(label, entry, () => act(entry));
  }

  private entry(): ModelEntry {
    const { network, witness, store, caller } = this;
    return new ModelEntry({
      network,
      witness,
      store,
      caller,
      nowMs: () => this.nowMs,
      sidecarAt: (upstream) => this.sidecarAt(upstream),
    });
  }
}
