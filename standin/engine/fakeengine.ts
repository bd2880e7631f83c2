import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import { tokenAt } from './tokenat.js';

/** Options of the stand-in engine. */
interface FakeEngineOptions {
  /** Time between tokens. */
  readonly tokenMs: number;
  /** Tokens of each answer, unless the request asks for fewer. */
  readonly tokens: number;
}

interface Ask {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly messages?: readonly { readonly content: string }[];
  readonly prompt?: string;
}

/** A model engine's place-taker: the same prompt always gives the same tokens. */
export class FakeEngine {
  /** Requests that began to run. */
  ran = 0;

  private readonly server: Server;

  constructor(private readonly options: FakeEngineOptions) {
    this.server = createServer((request, response) => {
      void this.answer(request, response);
    });
  }

  /** Listens on a free port of the loopback and gives the URL. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        const { port } = this.server.address() as { port: number };
        resolve(`http://127.0.0.1:${port}`);
      });
    });
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const ask = JSON.parse(await text(request)) as Ask;
    this.ran += 1;
    const id = String(request.headers['x-request-id']);
    const prompt = ask.prompt ?? (ask.messages ?? []).map(({ content }) => content).join('\n');
    const count = Math.min(ask.max_tokens ?? this.options.tokens, this.options.tokens);
    const tokens = Array.from({ length: count }, (_, index) => tokenAt(prompt, index));
    if (!ask.stream) {
      const choices = [{ index: 0, message: { role: 'assistant', content: tokens.join('') } }];
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ id, model: ask.model, choices }));
      return;
    }
    response.setHeader('content-type', 'text/event-stream');
    for (const [index, content] of tokens.entries()) {
      const data = { id, model: ask.model, choices: [{ index: 0, delta: { content } }] };
      response.write(`id: ${index}\ndata: ${JSON.stringify(data)}\n\n`);
      await new Promise((resolve) => {
        setTimeout(resolve, this.options.tokenMs);
      });
    }
    response.end('data: [DONE]\n\n');
  }
}
