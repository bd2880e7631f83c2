import { connect, type Socket } from 'node:net';

interface StreamCall {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A caller of a stream that reads some events of it and then leaves, or finds its connection closed. */
export class PartialStream {
  text = '';

  isClosed = false;

  private readonly socket: Socket;

  constructor(port: number, { id, path, headers }: StreamCall) {
    const lines = [
      `POST ${path} HTTP/1.1`,
      'Host: caller.example',
      `Tarragonstile-Request-Id: ${id}`,
      'Tarragonstile-Deadline-Ms: 4000',
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    this.socket = connect(port, '127.0.0.1', () => {
      this.socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    });
    this.socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1');
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
    });
  }

  get eventCount(): number {
    return this.text.match(/^data: /gm)?.length ?? 0;
  }

  leave(): void {
    this.socket.destroy();
  }
}
