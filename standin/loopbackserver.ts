import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

/** An HTTP server on a free loopback port. */
export class LoopbackServer {
  private readonly server;

  constructor(handle: Handler) {
    this.server = createServer((request, response) => {
      Promise.resolve(handle(request, response)).catch((thrown: unknown) => {
        if (!response.headersSent) response.writeHead(400);
        response.end(String(thrown));
      });
    });
  }

  /** Starts listening and returns the URL. */
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
}
