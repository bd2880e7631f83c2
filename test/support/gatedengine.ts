import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** An engine without admin paths. It sends the first event of each answer, and the rest after `release`. */
export class GatedEngine {
  /** Number of requests that began to run. */
  runCount = 0;

  private readonly held = new Set<ServerResponse>();

  private released = false;

  private readonly server = createServer((request, response) => {
    if (request.method === 'GET') {
      response.writeHead(404).end();
      return;
    }
    this.runCount += 1;
    const id = String(request.headers['x-request-id']);
    response.setHeader('content-type', 'text/event-stream');
    response.write(`data: ${JSON.stringify({ id, choices: [{ delta: { content: 'a' } }] })}\n\n`);
    this.held.add(response);
    if (this.released) this.release();
  });

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Completes all open answers, and from now on every answer as soon as it begins. */
  release(): void {
    this.released = true;
    for (const response of this.held) response.end('data: [DONE]\n\n');
    this.held.clear();
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
