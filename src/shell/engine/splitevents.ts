const EVENT_END = '\n\n';

/**
 * Cuts a byte stream into whole server-sent events, keeping what is incomplete for the next chunk.
 * Each event counts as one token, but for the closing `[DONE]`.
 */
export function splitEvents(): (
  chunk: Buffer,
) => { payload: Buffer; tokenCount: number; resumeToken?: string }[] {
  let rest = '';
  const decoder = new TextDecoder();
  return (chunk) => {
    const parts = (rest + decoder.decode(chunk, { stream: true })).split(EVENT_END);
    rest = parts.pop() ?? '';
    return parts.map((part) => {
      const id = /^id: ?(.*)$/m.exec(part)?.[1];
      return {
        payload: Buffer.from(part + EVENT_END),
        tokenCount: part.includes('[DONE]') ? 0 : 1,
        resumeToken: id,
      };
    });
  };
}
