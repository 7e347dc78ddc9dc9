#!/bin/sh
# Regenerates the committed protobuf code. Requires protoc; the plugins are tools of go.mod.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
for tool in protoc-gen-go protoc-gen-go-grpc protoc-gen-go-vtproto; do
  printf '#!/bin/sh\nexec go tool %s\n' "$tool" > "$bin/$tool"
  chmod +x "$bin/$tool"
done
module=github.com/auburnwood/auburnwood
PATH="$bin:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=$module \
  --go-vtproto_out=. --go-vtproto_opt=module=$module,features=marshal+unmarshal+unmarshal_unsafe+size \
  proto/wire.proto proto/dsr.proto
if [ -f proto/control.proto ]; then
  PATH="$bin:$PATH" protoc -I proto \
    --go_out=. --go_opt=module=$module \
    --go-grpc_out=. --go-grpc_opt=module=$module \
    proto/control.proto
fi
