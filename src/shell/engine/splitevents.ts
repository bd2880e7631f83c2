/** One or more complete events of a stream. */
interface Piece {
  readonly payload: Buffer;
  readonly tokenCount: number;
  readonly resumeToken?: string;
}

const EVENT_END = Buffer.from('\n\n');
const DONE = Buffer.from('data: [DONE]');
const ID = Buffer.from('id: ');
const EMPTY = Buffer.alloc(0);
const NEW_LINE = 0x0a;

function countEvents(payload: Buffer): number {
  let count = 0;
  let at = payload.indexOf(EVENT_END);
  while (at >= 0) {
    count += 1;
    at = payload.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return count;
}

/** Returns the `id` line of the last event; engines write that line first. */
function lastId(payload: Buffer): string | undefined {
  const at = payload.lastIndexOf(ID);
  const startsLine = at === 0 || payload[at - 1] === NEW_LINE;
  if (at < 0 || !startsLine) return undefined;
  return payload.toString('utf8', at + ID.length, payload.indexOf(NEW_LINE, at));
}

function pieceOf(payload: Buffer): Piece {
  const doneCount = payload.includes(DONE) ? 1 : 0;
  return { payload, tokenCount: countEvents(payload) - doneCount, resumeToken: lastId(payload) };
}

/**
 * Returns a function that splits a byte stream at the end of server-sent events. An incomplete event is buffered until
 * the next chunk. Each event counts as one token, except the closing `[DONE]`.
 */
export function splitEvents(): (chunk: Buffer) => Piece[] {
  let rest: Buffer = EMPTY;
  return (chunk) => {
    const held = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    const end = held.lastIndexOf(EVENT_END);
    if (end < 0) {
      rest = held;
      return [];
    }
    const cut = end + EVENT_END.length;
    rest = held.subarray(cut);
    return [pieceOf(held.subarray(0, cut))];
  };
}
