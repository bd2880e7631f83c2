import type { Generation } from '../../port/index.js';

interface Body {
  readonly messages?: readonly object[];
  readonly prompt?: unknown;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
}

type Continuation = NonNullable<Generation['continuation']>;

const CONTINUATION_FIELDS: Readonly<
  Record<string, (body: Body, text: string) => object | undefined>
> = {
  '/v1/chat/completions': (body, text) => ({
    messages: [...(body.messages ?? []), { role: 'assistant', content: text }],
    continue_final_message: true,
    add_generation_prompt: false,
  }),
  '/v1/completions': ({ prompt }, text) =>
    typeof prompt === 'string' ? { prompt: prompt + text } : undefined,
};

function reducedTokenLimits(body: Body, tokenCount: number): object {
  const names = ['max_tokens', 'max_completion_tokens'] as const;
  const entries = names
    .filter((name) => body[name] !== undefined)
    .map((name) => [name, Math.max(1, Number(body[name]) - tokenCount)]);
  return Object.fromEntries(entries) as object;
}

/** Returns a body that makes an engine continue after the text; undefined if the request cannot be continued. */
export function continuedBody(
  path: string,
  body: Buffer,
  { text, tokenCount }: Continuation,
): Buffer | undefined {
  const parsed = JSON.parse(body.toString()) as Body;
  const continued = CONTINUATION_FIELDS[path]?.(parsed, text);
  if (!continued) return undefined;
  const continuedRequest = { ...parsed, ...continued, ...reducedTokenLimits(parsed, tokenCount) };
  return Buffer.from(JSON.stringify(continuedRequest));
}
