import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { sendEndless } from '../../standin/platform/sendendless.js';
import type { Endless } from '../../standin/platform/index.js';

/** An engine and plain service without admin paths, which can answer everything without end. */
export class FaultyUpstream {
  /** Sent as the answer to each request; undefined if the upstream is sound. */
  endless: Endless | undefined;

  private readonly server = createServer((request, response) => this.handle(request, response));

  /** Returns the URL. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as { port: number };
    return `http://127.0.0.1:${port}`;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const id = String(request.headers['x-request-id'] ?? '');
    if (this.endless) {
      sendEndless(request.socket, this.endless, { 'x-request-id': id });
      return;
    }
    if (request.url?.startsWith('/admin')) {
      response.writeHead(404).end();
      return;
    }
    const event = `data: ${JSON.stringify({ id, choices: [{ delta: { content: 'a' } }] })}\n\n`;
    response.setHeader('content-type', 'text/event-stream');
    response.end(`${event}data: [DONE]\n\n`);
  }
}
