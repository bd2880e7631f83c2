import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Revision } from '../../src/base/index.js';
import type { KeyValue } from '../../src/port/index.js';
import { LoopbackServer } from '../loopbackserver.js';
import { sendJson } from '../sendjson.js';
import { StoreModel } from '../store/storemodel.js';

/** Fault of the next call to a path. */
type StoreFault =
  | 'unavailable'
  | 'refused'
  | 'answer-lost'
  | 'silent'
  | 'rubbish'
  /** Answers like another process that has taken the address of the store. */
  | 'foreign';

interface Txn {
  readonly expected: readonly { readonly key: string; readonly revision: number }[];
  readonly writes: readonly { readonly key: string; readonly value: string }[];
  readonly remove?: readonly string[];
}

const PAGE_ITEMS = 20;

function itemOf({ key, value, revision }: KeyValue): object {
  return {
    key,
    value: Buffer.from(value).toString('base64'),
    revision,
    created_rev: revision,
    lease: 0,
  };
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** A stand-in for the platform's store, with revisions, long-polling watches and injected faults. */
export class PlatformStore {
  readonly model = new StoreModel();

  /** Faults of the next calls to each path. */
  readonly faults = new Map<string, StoreFault[]>();

  /** Paths of all calls received, in order. */
  readonly calls: string[] = [];

  private readonly waiting = new Set<() => void>();

  private readonly server = new LoopbackServer((request, response) =>
    this.handle(request, response),
  );

  /** Starts listening and returns the address. */
  async listen(): Promise<string> {
    return (await this.server.listen()).slice('http://'.length);
  }

  close(): void {
    this.server.close();
  }

  /** Writes a key unconditionally, as the operator or a server does. */
  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const expectedRevision = this.model.get(key)?.revision ?? (0 as Revision);
    this.model.swap({ key, value: text, expectedRevision });
    this.notifyWatchers();
  }

  remove(key: string): void {
    const expectedRevision = this.model.get(key)?.revision ?? (0 as Revision);
    this.model.swap({ key, value: undefined, expectedRevision });
    this.notifyWatchers();
  }

  /** Deletes the history. Watchers have to read everything again. */
  compact(): void {
    this.model.compact();
    this.notifyWatchers();
  }

  private notifyWatchers(): void {
    for (const act of [...this.waiting]) act();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.push(url.pathname);
    const body = await readBody(request);
    const fault = this.faults.get(url.pathname)?.shift();
    if (fault === 'silent') return;
    if (fault === 'unavailable') sendJson(response, 503, {});
    else if (fault === 'refused') request.socket.resetAndDestroy();
    else if (fault === 'foreign') sendJson(response, 200, { items: 'none', changes: [] });
    else if (fault === 'rubbish') response.writeHead(200).end('{"items":');
    else this.answer(url, body, response, fault === 'answer-lost');
  }

  private answer(url: URL, body: string, response: ServerResponse, isLost: boolean): void {
    const query = url.searchParams;
    const send = (status: number, value: unknown) => {
      if (isLost) response.destroy();
      else sendJson(response, status, value);
    };
    if (url.pathname === '/kv-key') this.key(query.get('key') ?? '', send);
    else if (url.pathname === '/kv-range') this.range(query, send);
    else if (url.pathname === '/kv-watch') this.watch(query, send);
    else if (url.pathname === '/kv-txn') this.txn(JSON.parse(body) as Txn, send);
    else send(400, {});
  }

  private key(key: string, send: (status: number, value: unknown) => void): void {
    const item = this.model.get(key);
    send(item ? 200 : 404, item ? itemOf(item) : {});
  }

  private range(query: URLSearchParams, send: (status: number, value: unknown) => void): void {
    const { items, revision } = this.model.list(query.get('path_prefix') ?? '');
    const rest = items.filter(({ key }) => key > (query.get('after') ?? ''));
    const page = rest.slice(0, PAGE_ITEMS).map(itemOf);
    send(200, { items: page, more_pages: rest.length > PAGE_ITEMS, current_rev: revision });
  }

  private watch(query: URLSearchParams, send: (status: number, value: unknown) => void): void {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after')) as Revision;
    const answerIfDue = (isLast: boolean): boolean => {
      const events = this.model.eventsAfter(prefix, after);
      if (!events) {
        send(410, {});
        return true;
      }
      if (events.length === 0 && !isLast) return false;
      const changes = events.map(({ key, revision, item }) =>
        item ? itemOf(item) : { key, revision, deleted: true },
      );
      send(200, { events: changes, current_rev: this.model.revision });
      return true;
    };
    if (answerIfDue(false)) return;
    const wait = { timer: setTimeout(() => undefined, 0), again: () => {} };
    const stop = () => {
      clearTimeout(wait.timer);
      this.waiting.delete(wait.again);
    };
    wait.again = () => {
      if (answerIfDue(false)) stop();
    };
    wait.timer = setTimeout(
      () => {
        stop();
        answerIfDue(true);
      },
      Number(query.get('wait_ms')),
    );
    this.waiting.add(wait.again);
  }

  private txn(txn: Txn, send: (status: number, value: unknown) => void): void {
    const [condition] = txn.expected;
    const [write] = txn.writes;
    const key = condition?.key ?? write?.key ?? '';
    const value = write && Buffer.from(write.value, 'base64').toString('utf8');
    const expectedRevision = (condition?.revision ?? 0) as Revision;
    const swapped = this.model.swap({ key, value, expectedRevision });
    this.notifyWatchers();
    if (swapped.err) send(400, {});
    else if (swapped.val.type === 'swapped') send(200, { revision: swapped.val.revision });
    else {
      const { current } = swapped.val;
      send(412, { items: [current ? itemOf(current) : { key, value: '', revision: 0 }] });
    }
  }
}
