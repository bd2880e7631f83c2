import type { Revision } from '../../base/index.js';
import {
  createMesh,
  isNewer,
  isRelay,
  stepMesh,
  type MeshBatch,
  type MeshEffect,
  type MeshEvent,
  type MeshRecord,
  type MeshState,
} from '../../core/mesh/index.js';
import type { MeshServer, RecordBatch } from '../../wire/index.js';
import type { Board, BoardRecord, BoardStatus } from '../board/index.js';
import { fromWire } from './fromwire.js';
import { MembershipPoller } from './membershippoller.js';
import type { MeshBoardOptions } from './meshboardoptions.js';
import { MeshCalls } from './meshcalls.js';
import { MeshClients } from './meshclients.js';
import { StoreWatch } from './storewatch.js';

const TICK_MS = 50;
const CALL_TIMEOUT_MS = 300;
const HOST_LIST_POLL_MS = 5000;
const DOCUMENTS = 'document/';

type EffectHandlers = {
  readonly [Type in MeshEffect['type']]: (effect: Extract<MeshEffect, { type: Type }>) => void;
};

function toBoard({ key, epoch, sequence, value, origin }: MeshRecord): BoardRecord {
  return { key, epoch, sequence, value: value as Buffer, origin };
}

/** Board of a daemon: runs the state machine of src/core/mesh, which replicates records within the region. */
export class MeshBoard implements Board {
  private state: MeshState;

  private readonly listeners = new Set<(record: BoardRecord) => void>();

  /** Key of the document that lists a sidecar, by the sidecar's address. */
  private readonly documentBySidecar = new Map<string, string>();

  private readonly calls: MeshCalls;

  private readonly watch: StoreWatch;

  private readonly membershipPoller: MembershipPoller;

  private readonly events: MeshEvent[] = [];

  private busy = false;

  private stopTick: () => void = () => {};

  private readonly effectHandlers: EffectHandlers = {
    adopted: ({ records }) => this.notifyListeners(records),
    push: ({ to, batch }) => {
      void this.calls.push(to, batch);
    },
    pull: ({ to, digest }) => {
      void this.calls.pull(to, digest);
    },
    answerPush: ({ callId, digest }) => this.calls.answerPush(callId, digest),
    answerPull: ({ callId, batch }) => this.calls.answerPull(callId, batch),
    listStore: () => {
      void this.watch.list();
    },
    openWatch: ({ fromRevision }) => this.watch.open(fromRevision),
    closeWatch: () => this.watch.close(),
    caughtUp: ({ phase }) => this.logCaughtUp(phase),
  };

  constructor(private readonly options: MeshBoardOptions) {
    const { role, interests = [], hasStore, clock, seed, tuning } = options;
    const hasHostList = options.hostList !== undefined;
    const self = { id: options.hostId, address: '', role, interests, hasHostList, hasStore };
    this.state = createMesh(self, seed, clock.nowMs(), tuning);
    this.calls = new MeshCalls({
      clients: new MeshClients(options.callTimeoutMs ?? CALL_TIMEOUT_MS, options.credentials),
      metrics: options.metrics,
      read: (batch) => this.read(batch),
      emit: (event) => this.dispatch(event),
    });
    this.watch = new StoreWatch(options.store, options.region, (event) => this.dispatch(event));
    this.membershipPoller = new MembershipPoller(
      options,
      options.hostListPollMs ?? HOST_LIST_POLL_MS,
      (event) => this.dispatch(event),
    );
  }

  /** Returns the handlers of the gRPC service `Mesh`, to be added to the process's server. */
  handlers(): MeshServer {
    return this.calls.handlers();
  }

  /** Starts replication. `address` is where peers reach this process. */
  start(address: string): void {
    this.dispatch({ type: 'listening', address });
    this.membershipPoller.start();
    this.tick();
  }

  /** Stops replication. The local copy stays readable. */
  stop(): void {
    this.stopTick();
    this.membershipPoller.stop();
    this.watch.close();
    this.calls.close();
  }

  get(key: string): BoardRecord | undefined {
    const record = this.state.records.get(key);
    return record && record.value.length > 0 ? toBoard(record) : undefined;
  }

  list(prefix: string): readonly BoardRecord[] {
    const found: BoardRecord[] = [];
    for (const record of this.state.records.values()) {
      if (record.key.startsWith(prefix) && record.value.length > 0) found.push(toBoard(record));
    }
    return found;
  }

  publish(record: BoardRecord): void {
    const origin = record.origin ?? this.options.hostId;
    this.dispatch({ type: 'published', record: { ...record, origin } });
  }

  onChange(prefix: string, notify: (record: BoardRecord) => void): () => void {
    const listener = (record: BoardRecord) => {
      if (record.key.startsWith(prefix)) notify(record);
    };
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  revision(service?: string): Revision {
    if (service === undefined) return this.state.revision as Revision;
    return (this.state.records.get(`${DOCUMENTS}${service}`)?.sequence ?? 0) as Revision;
  }

  revisionForSidecar(sidecarAddress: string): Revision {
    const key = this.documentBySidecar.get(sidecarAddress) ?? '';
    return (this.state.records.get(key)?.sequence ?? 0) as Revision;
  }

  observeRevision(revision: Revision, fromAddress: string): void {
    if (revision <= this.state.revision) return;
    this.dispatch({ type: 'revisionSeen', revision, from: fromAddress });
  }

  caughtUp(): boolean {
    const { phase } = this.state.catchUp;
    // Without any document there is nothing to serve, even after the time limit.
    return phase === 'current' || (phase === 'uncertain' && this.state.revision > 0);
  }

  status(): BoardStatus {
    const { state } = this;
    const documents = this.list(DOCUMENTS).map(({ key, sequence }) => ({
      service: key.slice(DOCUMENTS.length),
      revision: sequence,
    }));
    const nowMs = this.options.clock.nowMs();
    const suspects = [...state.suspects].filter(([, untilMs]) => untilMs > nowMs);
    return {
      address: state.self.address,
      revision: state.revision,
      documents,
      phase: state.catchUp.phase,
      relay: isRelay(state, nowMs),
      store: state.store.phase,
      entryCount: state.entries.length,
      suspects: suspects.map(([address]) => address),
      recordCount: state.records.size,
    };
  }

  /** Processes an event. Events that arrive while effects are being executed are queued behind it. */
  private dispatch(event: MeshEvent): void {
    this.events.push(event);
    if (this.busy) return;
    this.busy = true;
    try {
      for (let next = this.events.shift(); next; next = this.events.shift()) this.step(next);
    } finally {
      this.busy = false;
    }
  }

  private step(event: MeshEvent): void {
    const { state, effects } = stepMesh(this.state, event, this.options.clock.nowMs());
    this.state = state;
    for (const effect of effects) {
      const handle = this.effectHandlers[effect.type] as (handled: MeshEffect) => void;
      handle(effect);
    }
  }

  private tick(): void {
    this.dispatch({ type: 'tick' });
    this.stopTick = this.options.clock.after(TICK_MS, () => this.tick());
  }

  private read(batch: RecordBatch): MeshBatch {
    return fromWire(batch, (record) => !isNewer(record, this.state.records.get(record.key)));
  }

  private notifyListeners(records: readonly MeshRecord[]): void {
    this.options.metrics.gauge('mesh.revision', this.state.revision);
    this.options.metrics.gauge('mesh.records', this.state.records.size);
    for (const record of records) {
      for (const address of record.members ?? []) this.documentBySidecar.set(address, record.key);
      for (const listener of this.listeners) listener(toBoard(record));
    }
  }

  private logCaughtUp(phase: 'current' | 'uncertain'): void {
    const { revision } = this.state;
    if (phase === 'current') this.options.log.info('caught up', { revision });
    else this.options.log.warn('not caught up in time; serving from the local copy', { revision });
  }
}
