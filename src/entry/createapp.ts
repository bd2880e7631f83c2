import type { IncomingMessage, ServerResponse } from 'node:http';
import { H3, fromNodeHandler, type NodeHandler } from 'h3';
import { nanoid } from 'nanoid';
import { toFailure, type RequestId } from '../base/index.js';
import { refuse } from '../core/refusal/index.js';
import { Executed } from '../wire/index.js';
import type { EntryContext } from './entrycontext.js';
import { routes } from './handler/index.js';
import { sendProblem } from './sendproblem.js';

type Handler = (typeof routes)[number]['handler'];

/** Resolves once an answer that its handler sends later has ended. h3 would end it empty. */
async function ended(response: ServerResponse): Promise<void> {
  if (response.writableEnded || response.destroyed) return;
  await new Promise((resolve) => {
    response.once('close', resolve);
  });
}

function toNodeHandler(context: EntryContext, handler: Handler): NodeHandler {
  const listen = async (request: IncomingMessage, response: ServerResponse) => {
    const requestId = nanoid<RequestId>();
    try {
      await handler(context, { requestId, request, response });
      await ended(response);
    } catch (thrown) {
      const { type, detail } = toFailure('internal', thrown);
      context.log.error('request handler threw an exception; the caller gets an internal error', {
        requestId,
        detail,
      });
      const refusal = refuse(type, detail, { executed: Executed.EXECUTED_UNKNOWN });
      if (response.headersSent) response.destroy();
      else sendProblem(response, refusal, requestId);
    }
  };
  // The types of h3 also cover HTTP/2 requests, which the listener does not accept.
  return listen as NodeHandler;
}

/** Creates the h3 application that serves the entry's routes. */
export function createApp(context: EntryContext): H3 {
  const app = new H3();
  for (const { method, path, handler } of routes) {
    app.on(method, path, fromNodeHandler(toNodeHandler(context, handler)));
  }
  return app;
}
