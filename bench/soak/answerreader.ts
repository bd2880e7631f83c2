/** A complete answer, by its HTTP framing. */
interface Answer {
  readonly status: number;
  readonly sizeBytes: number;
  /** True if the answer announced that the connection closes after it. */
  readonly isLast: boolean;
}

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const LENGTH = /^content-length: *(\d+)/im;
const CHUNKED = /^transfer-encoding: *chunked/im;
const CLOSES = /^connection: *close/im;
/** Enough to show whether an event or a chunk was cut. */
const END_LENGTH = 24;
const FIRST_FINAL_STATUS = 200;

/** Returns where a body in chunks ends; undefined if it is not complete. */
function endOfChunks(text: string, from: number): number | undefined {
  let at = from;
  for (;;) {
    const lineEnd = text.indexOf(LINE_END, at);
    if (lineEnd < 0) return undefined;
    const sizeBytes = parseInt(text.slice(at, lineEnd), 16);
    const dataEnd = lineEnd + LINE_END.length + sizeBytes;
    if (text.length < dataEnd + LINE_END.length) return undefined;
    at = dataEnd + LINE_END.length;
    // The stand-ins and the entries send no trailers.
    if (sizeBytes === 0) return at;
  }
}

/** Splits the bytes that a caller receives on one connection into answers. */
export class AnswerReader {
  private text = '';

  /** Bytes of an answer that is not complete. */
  get pendingBytes(): number {
    return this.text.length;
  }

  /** The last characters of these. */
  get pendingEnd(): string {
    return this.text.slice(-END_LENGTH);
  }

  /** Returns the answers that are complete with this chunk. */
  push(chunk: Buffer): Answer[] {
    this.text += chunk.toString('latin1');
    const answers: Answer[] = [];
    for (;;) {
      const end = this.end();
      if (end === undefined) return answers;
      answers.push(this.take(end));
    }
  }

  /** Returns the answer that an ordinary end of the connection completes, if there is one. */
  finish(): Answer | undefined {
    const head = this.head();
    if (head === undefined || LENGTH.test(head) || CHUNKED.test(head)) return undefined;
    return this.take(this.text.length);
  }

  private head(): string | undefined {
    const headEnd = this.text.indexOf(HEAD_END);
    return headEnd < 0 ? undefined : this.text.slice(0, headEnd);
  }

  private end(): number | undefined {
    const head = this.head();
    if (head === undefined) return undefined;
    const bodyAt = head.length + HEAD_END.length;
    if (CHUNKED.test(head)) return endOfChunks(this.text, bodyAt);
    const length = LENGTH.exec(head);
    const isInterim = Number(head.split(' ')[1]) < FIRST_FINAL_STATUS;
    if (!length && !isInterim) return undefined;
    const end = bodyAt + Number(length?.[1] ?? 0);
    return this.text.length < end ? undefined : end;
  }

  private take(end: number): Answer {
    const head = this.head()!;
    this.text = this.text.slice(end);
    return { status: Number(head.split(' ')[1]), sizeBytes: end, isLast: CLOSES.test(head) };
  }
}
