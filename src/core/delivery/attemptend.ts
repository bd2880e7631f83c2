/** How an attempt ended without a usable answer. */
export type AttemptEnd =
  /** The upstream reported that it did not run the request, or the request was never sent. */
  | {
      readonly type: 'not-run';
      readonly wasSent: boolean;
      /** True if every connection to the upstream that this process may open was in use. */
      readonly isUnconnected?: boolean;
      /** True if the upstream could not be reached, so that it counts as lost for some time. */
      readonly isUnreachable?: boolean;
    }
  /** A complete answer that reports a failure of the upstream. */
  | { readonly type: 'failed' }
  /** No answer, or an interrupted one. */
  | { readonly type: 'broken' };
