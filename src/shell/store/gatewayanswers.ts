/** One key in the gateway's JSON: bytes are base64, 64-bit numbers are strings. */
interface GatewayItem {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
}

/** Answers of the etcd v3 JSON gateway; only the fields that the driver reads. */
export interface GatewayAnswers {
  readonly item: GatewayItem;
  readonly range: {
    readonly header: { readonly revision?: string };
    readonly kvs?: readonly GatewayItem[];
  };
  readonly txn: {
    readonly header: { readonly revision?: string };
    readonly succeeded?: boolean;
    readonly responses?: readonly {
      readonly response_range?: { readonly kvs?: readonly GatewayItem[] };
    }[];
  };
  readonly grant: { readonly ID: string };
  readonly keepalive: { readonly result?: { readonly TTL?: string } };
  readonly watch: {
    readonly result?: {
      readonly canceled?: boolean;
      readonly compact_revision?: string;
      readonly events?: readonly { readonly type?: string; readonly kv: GatewayItem }[];
    };
  };
}
