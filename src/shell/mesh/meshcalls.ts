import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js';
import type { MeshBatch, MeshDigest, MeshEvent } from '../../core/mesh/index.js';
import type { Metrics } from '../../port/index.js';
import type { Digest, MeshServer, RecordBatch } from '../../wire/index.js';
import type { MeshClients } from './meshclients.js';
import { toWire } from './towire.js';

type Answer = (message: never) => void;

/** Options of the calls. */
interface MeshCallsOptions {
  readonly clients: MeshClients;
  readonly metrics: Metrics;
  /** Turns a received batch into the core's. */
  readonly read: (batch: RecordBatch) => MeshBatch;
  readonly tell: (event: MeshEvent) => void;
}

/** The calls between peers, in both directions: each one and its outcome is an event for the core. */
export class MeshCalls {
  private readonly answers = new Map<number, Answer>();

  private callId = 0;

  constructor(private readonly options: MeshCallsOptions) {}

  /** Handlers of the gRPC service `Mesh`. */
  handlers(): MeshServer {
    const { tell, read } = this.options;
    return {
      pull: (call: ServerUnaryCall<Digest, RecordBatch>, reply: sendUnaryData<RecordBatch>) => {
        const callId = this.expect((batch: RecordBatch) => reply(null, batch));
        tell({ type: 'pullArrived', callId, digest: call.request });
      },
      push: (call: ServerUnaryCall<RecordBatch, Digest>, reply: sendUnaryData<Digest>) => {
        const callId = this.expect((digest: Digest) => reply(null, digest));
        tell({ type: 'pushArrived', callId, batch: read(call.request) });
      },
    };
  }

  async push(to: string, batch: MeshBatch): Promise<void> {
    const { clients, metrics, tell } = this.options;
    const keys = batch.records.map(({ key }) => key);
    metrics.count('mesh.pushes');
    const answer = await clients.push(to, toWire(batch));
    if (answer.ok) {
      tell({ type: 'pushAnswered', to, revision: answer.val.revision });
      return;
    }
    metrics.count('mesh.push_failures');
    tell({ type: 'pushFailed', to, keys });
  }

  async pull(to: string, digest: MeshDigest): Promise<void> {
    const { clients, metrics, read, tell } = this.options;
    metrics.count('mesh.pulls');
    const answer = await clients.pull(to, digest);
    if (answer.ok) {
      tell({ type: 'pullAnswered', from: to, batch: read(answer.val) });
      return;
    }
    metrics.count('mesh.pull_failures');
    tell({ type: 'pullFailed', from: to });
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

  private expect(reply: Answer): number {
    this.callId += 1;
    this.answers.set(this.callId, reply);
    return this.callId;
  }

  private answer(callId: number, message: never): void {
    this.answers.get(callId)?.(message);
    this.answers.delete(callId);
  }
}
