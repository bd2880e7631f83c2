import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js';
import type { MeshBatch, MeshDigest, MeshEvent } from '../../core/mesh/index.js';
import type { Metrics } from '../../port/index.js';
import type { Digest, MeshServer, RecordBatch } from '../../wire/index.js';
import type { MeshClients } from './meshclients.js';
import { toWire } from './towire.js';

type Reply = (message: never) => void;

/** Options of `MeshCalls`. */
interface MeshCallsOptions {
  readonly clients: MeshClients;
  readonly metrics: Metrics;
  /** Converts a received batch to the type of the core. */
  readonly read: (batch: RecordBatch) => MeshBatch;
  readonly emit: (event: MeshEvent) => void;
}

/** Calls between peers, in both directions. Each incoming call and each outcome is emitted as an event for the core. */
export class MeshCalls {
  private readonly pendingReplies = new Map<number, Reply>();

  private callId = 0;

  constructor(private readonly options: MeshCallsOptions) {}

  /** Handlers of the gRPC service `Mesh`. */
  handlers(): MeshServer {
    const { emit, read } = this.options;
    return {
      pull: (call: ServerUnaryCall<Digest, RecordBatch>, reply: sendUnaryData<RecordBatch>) => {
        const callId = this.expect((batch: RecordBatch) => reply(null, batch));
        emit({ type: 'pullArrived', callId, digest: call.request });
      },
      push: (call: ServerUnaryCall<RecordBatch, Digest>, reply: sendUnaryData<Digest>) => {
        const callId = this.expect((digest: Digest) => reply(null, digest));
        emit({ type: 'pushArrived', callId, batch: read(call.request) });
      },
    };
  }

  async push(to: string, batch: MeshBatch): Promise<void> {
    const { clients, metrics, emit } = this.options;
    const keys = batch.records.map(({ key }) => key);
    metrics.count('mesh.pushes');
    const answer = await clients.push(to, toWire(batch));
    if (answer.ok) {
      emit({ type: 'pushAnswered', to, revision: answer.val.revision });
      return;
    }
    metrics.count('mesh.push_failures');
    emit({ type: 'pushFailed', to, keys });
  }

  async pull(to: string, digest: MeshDigest): Promise<void> {
    const { clients, metrics, read, emit } = this.options;
    metrics.count('mesh.pulls');
    const answer = await clients.pull(to, digest);
    if (answer.ok) {
      emit({ type: 'pullAnswered', from: to, batch: read(answer.val) });
      return;
    }
    metrics.count('mesh.pull_failures');
    emit({ type: 'pullFailed', from: to });
  }

  answerPush(callId: number, digest: MeshDigest): void {
    this.answer(callId, digest as never);
  }

  answerPull(callId: number, batch: MeshBatch): void {
    this.answer(callId, toWire(batch) as never);
  }

  close(): void {
    this.options.clients.close();
  }

  private expect(reply: Reply): number {
    this.callId += 1;
    this.pendingReplies.set(this.callId, reply);
    return this.callId;
  }

  private answer(callId: number, message: never): void {
    this.pendingReplies.get(callId)?.(message);
    this.pendingReplies.delete(callId);
  }
}
