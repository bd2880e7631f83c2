import { credentials, Metadata, type ChannelCredentials, type ServiceError } from '@grpc/grpc-js';
import type { Result } from 'ts-results';
import { result, type Ms } from '../../base/index.js';
import { MeshClient, type Digest, type RecordBatch } from '../../wire/index.js';
import type { MeshFailure } from './meshfailure.js';

const MESSAGE_BYTES = 16_777_216;
const GZIP = 2;
/** Longest time until a restarted peer is reached again at the same address. */
const MAX_RECONNECT_MS = 1000;

const CHANNEL = {
  'grpc.max_send_message_length': MESSAGE_BYTES,
  'grpc.max_receive_message_length': MESSAGE_BYTES,
  'grpc.default_compression_algorithm': GZIP,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
  'grpc.client_idle_timeout_ms': 120_000,
  'grpc.enable_retries': 0,
  // Connections are not shared between instances, so a test can run several peers in one process.
  'grpc.use_local_subchannel_pool': 1,
};

type Reply<Message> = (error: ServiceError | null, message: Message) => void;

/** gRPC clients by peer address. A connection opens on the first call and closes when idle. */
export class MeshClients {
  private readonly clients = new Map<string, MeshClient>();

  constructor(
    private readonly timeoutMs: Ms,
    private readonly secrets: ChannelCredentials = credentials.createInsecure(),
  ) {}

  push(address: string, batch: RecordBatch): Promise<Result<Digest, MeshFailure>> {
    return this.call<Digest>(address, (client, deadline, reply) => {
      client.push(batch, new Metadata(), { deadline }, reply);
    });
  }

  pull(address: string, digest: Digest): Promise<Result<RecordBatch, MeshFailure>> {
    return this.call<RecordBatch>(address, (client, deadline, reply) => {
      client.pull(digest, new Metadata(), { deadline }, reply);
    });
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private call<Message>(
    address: string,
    send: (client: MeshClient, deadline: number, reply: Reply<Message>) => void,
  ): Promise<Result<Message, MeshFailure>> {
    return new Promise((resolve) => {
      send(this.client(address), Date.now() + this.timeoutMs, (error, message) => {
        if (!error) resolve(result.Ok(message));
        else resolve(result.Err({ type: 'peer-unreachable', detail: error.details, address }));
      });
    });
  }

  private client(address: string): MeshClient {
    let client = this.clients.get(address);
    if (!client) {
      client = new MeshClient(address, this.secrets, CHANNEL);
      this.clients.set(address, client);
    }
    return client;
  }
}
