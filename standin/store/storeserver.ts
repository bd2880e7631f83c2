import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { json } from 'node:stream/consumers';
import type { Result } from 'ts-results';
import { result, type Revision } from '../../src/base/index.js';
import type { KeyValue, StoreFailure, SwapOutcome, WatchEvent } from '../../src/port/index.js';
import type { GatewayMessages } from './gatewaymessages.js';
import { gatewayStatus } from './gatewaystatus.js';
import type { MemoryStore } from './memorystore.js';

type Handler = (body: never) => Promise<Result<object, StoreFailure>>;

const SECOND_MS = 1000;

const decode = (text: string) => Buffer.from(text, 'base64').toString();
const encode = (text: string) => Buffer.from(text).toString('base64');

function keyValueOf(item: KeyValue): object {
  const { key, value, revision } = item;
  return { key: encode(key), value: encode(value), mod_revision: String(revision) };
}

function eventOf(event: WatchEvent): object {
  if (event.type === 'put') return { kv: keyValueOf(event.item) };
  if (event.type !== 'deleted') return {};
  const kv = { key: encode(event.key), mod_revision: String(event.revision) };
  return { type: 'DELETE', kv };
}

function txnAnswer(outcome: SwapOutcome): object {
  if (outcome.type === 'swapped') {
    return { header: { revision: String(outcome.revision) }, succeeded: true, responses: [{}] };
  }
  const kvs = outcome.current ? [keyValueOf(outcome.current)] : [];
  return { header: {}, succeeded: false, responses: [{ response_range: { kvs } }] };
}

/** Serves a stand-in store over the subset of the etcd v3 JSON gateway that the driver uses. */
export class StoreServer {
  private readonly server: Server;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    '/v3/kv/range': (body) => this.range(body),
    '/v3/kv/txn': (body) => this.txn(body),
    '/v3/lease/grant': (body) => this.grant(body),
    '/v3/lease/keepalive': (body) => this.renew(body),
    '/v3/lease/revoke': (body) => this.revoke(body),
  };

  constructor(private readonly store: MemoryStore) {
    this.server = createServer((request, response) => {
      void this.answer(request, response);
    });
  }

  /** Listens on the loopback, by default on a free port, and returns the URL. */
  listen(port = 0): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', () => {
        const bound = this.server.address() as { port: number };
        resolve(`http://127.0.0.1:${bound.port}`);
      });
    });
  }

  /** Stops at once, as in a crash; cuts open calls and watches. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await json(request)) as never;
    if (request.url === '/v3/watch') {
      this.watch(body, response);
      return;
    }
    const handler = this.handlers[request.url ?? ''];
    if (!handler) {
      response.writeHead(404).end();
      return;
    }
    const answer = await handler(body);
    if (answer.ok) response.end(JSON.stringify(answer.val));
    else this.fail(answer.val, response);
  }

  /** Sends an error answer, or closes the connection if the failure is a lost answer. */
  private fail({ type }: StoreFailure, response: ServerResponse): void {
    const error = gatewayStatus[type];
    if (!error) {
      response.destroy();
      return;
    }
    const { status, code, message } = error;
    response.writeHead(status).end(JSON.stringify({ error: message, code, message }));
  }

  private async range(body: GatewayMessages['range']): Promise<Result<object, StoreFailure>> {
    const key = decode(body.key);
    if (body.range_end) {
      const listed = await this.store.list(key);
      return listed.map(({ items, revision }) => ({
        header: { revision: String(revision) },
        kvs: items.map(keyValueOf),
      }));
    }
    const got = await this.store.get(key);
    return got.map((item) => ({ header: {}, kvs: item ? [keyValueOf(item)] : [] }));
  }

  private async txn(body: GatewayMessages['txn']): Promise<Result<object, StoreFailure>> {
    const [compare] = body.compare;
    const [operation] = body.success;
    const put = operation?.request_put;
    if (!compare || (!put && !operation?.request_delete_range)) {
      return result.Err({
        type: 'store-refused',
        detail: 'The transaction is outside the supported subset.',
      });
    }
    const swapped = await this.store.swap({
      key: decode(compare.key),
      expectedRevision: Number(compare.mod_revision ?? 0) as Revision,
      value: put ? decode(put.value ?? '') : undefined,
      leaseId: put?.lease,
    });
    return swapped.map(txnAnswer);
  }

  private async grant(body: GatewayMessages['grant']): Promise<Result<object, StoreFailure>> {
    const granted = await this.store.grantLease(Number(body.TTL) * SECOND_MS);
    return granted.map((ID) => ({ header: {}, ID, TTL: body.TTL }));
  }

  private async renew({ ID }: GatewayMessages['lease']): Promise<Result<object, StoreFailure>> {
    const renewed = await this.store.renewLease(ID);
    return renewed.map((remainingMs) => ({
      result: { header: {}, ID, TTL: String(Math.floor(remainingMs / SECOND_MS)) },
    }));
  }

  private async revoke({ ID }: GatewayMessages['lease']): Promise<Result<object, StoreFailure>> {
    const revoked = await this.store.revokeLease(ID);
    return revoked.map(() => ({ header: {} }));
  }

  private watch(body: GatewayMessages['watch'], response: ServerResponse): void {
    const { key, start_revision: start = '1' } = body.create_request;
    const send = (message: object) => response.write(`${JSON.stringify({ result: message })}\n`);
    send({ header: {}, created: true });
    const from = (Number(start) - 1) as Revision;
    const stop = this.store.watch(decode(key), from, (event) => {
      if (event.type !== 'ended') {
        send({ header: {}, events: [eventOf(event)] });
        return;
      }
      if (event.failure.type === 'store-compacted') {
        send({ canceled: true, compact_revision: String(this.store.model.compactedRevision) });
        response.end();
      } else {
        response.destroy();
      }
    });
    response.on('close', stop);
  }
}
