import { FailureError, systemClock } from '../../base/index.js';
import { callOnce, Channel } from '../../shell/http1/index.js';

const TIMEOUT_MS = 2000;

/** Calls an entry on its address for other entries. Throws a typed failure if it does not answer with status 200. */
export async function callEntry(peer: string, path: string, body: object): Promise<unknown> {
  const channel = new Channel(peer, {
    clock: systemClock,
    connectTimeoutMs: TIMEOUT_MS,
    idleMs: TIMEOUT_MS,
    maxConnections: 1,
  });
  const headers = ['Content-Type', 'application/json'];
  const call = { method: 'POST', path, headers, body: Buffer.from(JSON.stringify(body)) };
  const answer = await callOnce(channel, call, systemClock, TIMEOUT_MS);
  channel.close();
  if (answer.err || answer.val.status !== 200) {
    const detail = answer.err ? answer.val.detail : `status ${answer.val.status}`;
    throw new FailureError({ type: 'entry-unreachable', detail: `${peer}: ${detail}` });
  }
  return JSON.parse(answer.val.body.toString('utf8'));
}
