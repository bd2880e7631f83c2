import type { Http1Receiver } from './http1receiver.js';

type Framing = Parameters<Http1Receiver['head']>[2];

/** The last transfer coding decides: after any other than `chunked` the connection ends the body (RFC 9112, section 6.3). */
const ENDS_CHUNKED = /(^|[\s,])chunked\s*$/i;

/** Returns what ends the body of an answer; `headers` alternates names and values. */
export function framingOf(method: string, status: number, headers: readonly string[]): Framing {
  if (method === 'HEAD' || status === 204 || status === 304) return 'length';
  let framing: Framing = 'connection';
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase();
    if (name === 'content-length') framing = 'length';
    else if (name === 'transfer-encoding') {
      framing = ENDS_CHUNKED.test(headers[at + 1]!) ? 'chunks' : 'connection';
    }
  }
  return framing;
}
