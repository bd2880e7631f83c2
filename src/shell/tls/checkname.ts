import { ServerInterceptingCall, status, type ServerInterceptor } from '@grpc/grpc-js';
import { nameOf } from './nameof.js';

/** Refuses calls of peers whose certificate does not carry one of these common names. */
export function checkName(allowedNames: readonly string[]): ServerInterceptor {
  return (_method, call) => {
    const name = nameOf(call.getAuthContext().sslPeerCertificate);
    if (allowedNames.includes(name)) return new ServerInterceptingCall(call);
    const details = `The certificate's common name ${name || '(none)'} is not in allowedNames.`;
    return new ServerInterceptingCall(call, {
      start(next) {
        // The call is not passed on to its handler.
        next({
          onReceiveMetadata: () => call.sendStatus({ code: status.PERMISSION_DENIED, details }),
        });
      },
    });
  };
}
