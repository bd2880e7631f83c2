import type { IncomingMessage, ServerResponse } from 'node:http';
import { H3, fromNodeHandler, type NodeHandler } from 'h3';
import { nanoid } from 'nanoid';
import { settle, type RequestId } from '../base/index.js';
import { refuse } from '../core/refusal/index.js';
import { Executed } from '../wire/index.js';
import type { Desk } from './desk.js';
import { routes } from './handler/index.js';
import { sendProblem } from './sendproblem.js';

type Handle = (typeof routes)[number]['handler'];

function nodeHandler(desk: Desk, handle: Handle): NodeHandler {
  const listen = async (request: IncomingMessage, response: ServerResponse) => {
    const requestId = nanoid<RequestId>();
    try {
      await handle(desk, { requestId, request, response });
    } catch (thrown) {
      const { type, detail } = settle('internal', thrown);
      desk.log.error('request failed', { requestId, detail });
      const refusal = refuse(type, detail, { executed: Executed.EXECUTED_UNKNOWN });
      if (response.headersSent) response.destroy();
      else sendProblem(response, refusal, requestId);
    }
  };
  // h3 types its requests for HTTP/2 as well, which the listener does not speak.
  return listen as NodeHandler;
}

/** The entry's paths as an h3 application. */
export function createApp(desk: Desk): H3 {
  const app = new H3();
  for (const { method, path, handler } of routes) {
    app.on(method, path, fromNodeHandler(nodeHandler(desk, handler)));
  }
  return app;
}
