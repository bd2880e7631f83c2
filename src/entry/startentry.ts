import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { H3, fromNodeHandler, type NodeHandler } from 'h3';
import { toNodeHandler } from 'h3/node';
import { nanoid } from 'nanoid';
import { systemClock, type RequestId } from '../base/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Target } from '../core/document/index.js';
import { createAudit, createLog } from '../shell/log/index.js';
import { createMetrics } from '../shell/metric/index.js';
import { createStore } from '../shell/store/index.js';
import type { Refusal, RequestHead } from '../wire/index.js';
import { authenticate } from './authenticate.js';
import type { EntrySettings } from './entrysettings.js';
import { Link } from './link.js';
import type { Choice, Context } from './part/index.js';
import { problem } from './problem.js';
import { reply } from './reply.js';
import { openMesh } from './openmesh.js';
import { createBoard } from './wiring/createboard.js';
import { createDirectory } from './wiring/createdirectory.js';
import { createRouter } from './wiring/createrouter.js';

/** A running entry. */
interface Entry {
  readonly port: number;
  stop(): Promise<void>;
}

interface Asked {
  readonly model?: string;
  readonly stream?: boolean;
}

async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request) {
    sizeBytes += (chunk as Buffer).length;
    if (sizeBytes > limitBytes) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function sendProblem(response: ServerResponse, refusal: Refusal, requestId: string): void {
  if (response.headersSent) return;
  const { status, headers, body } = problem(refusal, requestId);
  response.writeHead(status, headers).end(body);
}

/** Starts an entry: callers' HTTP on one side, sidecars on the other. */
export async function startEntry(settings: EntrySettings): Promise<Entry> {
  const log = createLog('entry', settings.logLevel);
  const link = new Link();
  const drivers = {
    settings,
    log,
    link,
    clock: systemClock,
    metrics: createMetrics('entry', undefined),
    audit: createAudit(log),
    store: createStore(settings.store, systemClock),
  };
  const board = createBoard(drivers);
  const context: Context = { ...drivers, board };
  const directory = createDirectory(context);
  const router = createRouter(context, directory);

  async function pass(
    choice: Choice,
    requestId: RequestId,
    head: RequestHead,
    response: ServerResponse,
  ): Promise<void> {
    const frames = link.ask(choice.sidecarAddress, requestId, 1, head);
    const end = await reply(frames, response, requestId);
    if (end.type === 'refused') sendProblem(response, end.refusal, requestId);
    log.info('request', { requestId, upstream: choice.upstream, end: end.type });
  }

  async function generate(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = nanoid<RequestId>();
    const accesses = authenticate(request.headers.authorization, directory.documents());
    if (accesses.length === 0) {
      sendProblem(response, refuse('unauthenticated', 'No service knows this key.'), requestId);
      return;
    }
    const body = await readBody(request, settings.bodyBytes);
    if (!body) {
      sendProblem(response, refuse('body-too-large', 'The body is too large.'), requestId);
      return;
    }
    const asked = JSON.parse(body.toString()) as Asked;
    const access = accesses.find(({ document }) =>
      document.models.some(({ id }) => id === asked.model),
    );
    const model = access?.document.models.find(({ id }) => id === asked.model);
    const kind = access?.document.kinds.find(({ name }) => name === model?.defaultKind);
    if (!access || !model || !kind) {
      sendProblem(response, refuse('model-unknown', 'No such model.'), requestId);
      return;
    }
    const target: Target = { service: access.document.service, kind, model: model.id };
    const head: RequestHead = {
      customer: access.customer.id,
      service: access.document.service,
      kind: kind.name,
      model: model.id,
      adapter: '',
      method: 'POST',
      path: request.url ?? '',
      headers: [],
      body,
      deadlineMs: kind.deadlineMs,
      repeatable: kind.repeatable,
      ticket: '',
      incarnation: 0,
      streaming: asked.stream === true,
      continuation: undefined,
      prefixHash: '',
      promptTokens: 0,
      maxTokens: 0,
    };
    const want = {
      requestId,
      target,
      prefixHash: '',
      remainingMs: kind.deadlineMs,
      tried: [],
    };
    const choice = await router.choose(want);
    if (choice.err) {
      sendProblem(response, choice.val, requestId);
      return;
    }
    await pass(choice.val, requestId, head, response);
  }

  const mesh = await openMesh(board, settings.meshListen);
  const app = new H3();
  app.get('/statusz', () => board.status());
  app.get('/healthz', () => ({ ok: true }));
  app.post('/v1/chat/completions', fromNodeHandler(generate as NodeHandler));
  app.post('/v1/completions', fromNodeHandler(generate as NodeHandler));
  const server = createServer(toNodeHandler(app) as never);
  const { host, port } = settings.listen;
  await new Promise<void>((resolve) => {
    server.listen(port, host, resolve);
  });
  const bound = (server.address() as { port: number }).port;
  log.info('listening', { port: bound });
  return {
    port: bound,
    async stop() {
      await new Promise((resolve) => {
        server.close(resolve);
      });
      router.close();
      mesh.close();
      link.close();
    },
  };
}
