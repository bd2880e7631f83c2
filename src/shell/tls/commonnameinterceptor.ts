import { ServerInterceptingCall, status, type ServerInterceptor } from '@grpc/grpc-js';
import { commonNameOf } from './commonnameof.js';

/** Creates a server interceptor that rejects calls from peers whose certificate has none of these common names. */
export function commonNameInterceptor(allowedNames: readonly string[]): ServerInterceptor {
  return (_method, call) => {
    const name = commonNameOf(call.getAuthContext().sslPeerCertificate);
    if (allowedNames.includes(name)) return new ServerInterceptingCall(call);
    const details = `The certificate's common name ${name || '(none)'} is not in allowedNames.`;
    return new ServerInterceptingCall(call, {
      start(next) {
        // Answers the call without passing it to its handler.
        next({
          onReceiveMetadata: () => call.sendStatus({ code: status.PERMISSION_DENIED, details }),
        });
      },
    });
  };
}
