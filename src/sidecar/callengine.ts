import type { AdapterId, ModelId, RequestId } from '../base/index.js';
import type { Engine } from '../port/index.js';
import type { UpstreamCall } from './upstreamcall.js';

/** Returns the call function for an upstream that is an engine. */
export function callEngine(engine: Engine): UpstreamCall {
  return ({ requestId, head, priority, resumeToken }, signal) => {
    const generation = {
      requestId: requestId as RequestId,
      attempt: 1,
      path: head.path,
      headers: head.headers,
      body: head.body,
      streaming: head.streaming,
      model: head.model as ModelId,
      adapter: head.adapter ? (head.adapter as AdapterId) : undefined,
      priority,
      continuation: head.continuation,
    };
    if (resumeToken !== undefined) return engine.resume(generation, resumeToken, signal);
    return engine.generate(generation, signal);
  };
}
