import { Server, ServerCredentials } from '@grpc/grpc-js';
import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import { MeshService } from '../../wire/index.js';
import type { MeshBoard } from './meshboard.js';

const MESSAGE_BYTES = 16_777_216;

/** A gRPC listener that serves only `Mesh`. */
interface MeshListener {
  /** IP address and port that the listener is bound to. */
  readonly address: string;
  close(): void;
}

/** Opens a gRPC listener for a board and starts the board's replication. */
export function serveMesh(
  board: Pick<MeshBoard, 'handlers' | 'start' | 'stop'>,
  listen: string,
  secrets: ServerCredentials = ServerCredentials.createInsecure(),
): Promise<Result<MeshListener, Failure>> {
  const server = new Server({ 'grpc.max_receive_message_length': MESSAGE_BYTES });
  server.addService(MeshService, board.handlers());
  return new Promise((resolve) => {
    server.bindAsync(listen, secrets, (error, port) => {
      if (error) {
        resolve(result.Err({ type: 'listener-unavailable', detail: error.message }));
        return;
      }
      const address = listen.replace(/\d+$/, String(port));
      board.start(address);
      const close = () => {
        board.stop();
        server.forceShutdown();
      };
      resolve(result.Ok({ address, close }));
    });
  });
}
